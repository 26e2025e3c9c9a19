//! `burdockroadd`, the daemon that runs on every entry host.

fn main() {}
