//! `burdockroad`, the operators' command-line tool.

fn main() {}
