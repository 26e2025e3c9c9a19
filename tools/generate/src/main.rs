//! Writes the generated code of `burdockroad-proto` anew from its `.proto` files.
//!
//! Run it from this folder with `cargo run`, then commit what changed.

fn main() {
    let proto = "../../crates/burdockroad-proto/proto";
    let files = ["kv.proto", "rpc.proto", "peer.proto"];
    let descriptors = protox::compile(files, [proto]).expect("the .proto files are valid");
    tonic_prost_build::configure()
        .out_dir("../../crates/burdockroad-proto/src/generated")
        .build_client(true)
        .build_server(true)
        .compile_fds(descriptors)
        .expect("the generated code can be written");
}
