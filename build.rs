//! Generates the Rust types of the operators' settings from `proto/operator.proto`, without `protoc`.

fn main() {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    protobuf_codegen::Codegen::new()
        .pure()
        .include("proto")
        .input("proto/operator.proto")
        .cargo_out_dir("generated")
        .run_from_script();
}
