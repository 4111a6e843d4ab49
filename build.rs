//! Generates the operators' settings messages from `proto/operator.proto`, in pure Rust.

fn main() {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    protobuf_codegen::Codegen::new()
        .pure()
        .include("proto")
        .input("proto/operator.proto")
        .cargo_out_dir("generated")
        .run_from_script();
}
