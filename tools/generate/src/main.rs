//! Regenerates the code of `burdockroad-proto` from its `.proto` files.
//!
//! Run it in this folder with `cargo run`, then commit the changes.

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
