//! The stand-in for the platform, `examples/platform.rs`: its command line, and ports that are taken.

#[path = "../examples/platform.rs"]
#[allow(dead_code, reason = "its main function is not used here")]
mod platform;

use platform::options::{parse, Options, OptionsError, Request};
use std::net::TcpListener;

fn parsed(arguments: &[&str]) -> Result<Request, OptionsError> {
    parse(arguments.iter().map(|argument| argument.to_string()))
}

#[test]
fn options_have_defaults_and_the_rest_are_controllers() {
    let options = |state: &str, cloud: &str, controllers: &[&str]| {
        let controllers = controllers.iter().map(|address| address.to_string()).collect();
        Ok(Request::Serve(Options { state: state.into(), cloud: cloud.into(), controllers }))
    };
    assert_eq!(parsed(&[]), options("127.0.0.1:2379", "127.0.0.1:8443", &["127.0.0.1:8080"]));
    let given = parsed(&["a:1", "--state", "s:2", "b:3", "--cloud", "c:4"]);
    assert_eq!(given, options("s:2", "c:4", &["a:1", "b:3"]));
    assert_eq!(parsed(&["a:1", "--help"]), Ok(Request::Help));
}

#[test]
fn bad_options_are_told_in_one_line() {
    let text = |arguments: &[&str]| parsed(arguments).expect_err("a bad option").to_string();
    assert_eq!(text(&["--cloud"]), "--cloud needs an address");
    assert_eq!(text(&["--stat", "s:2"]), "unknown option --stat, see --help");
}

#[test]
fn a_taken_port_is_told_in_one_line() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("bound").to_string();
    for (state, cloud) in [(address.as_str(), "127.0.0.1:0"), ("127.0.0.1:0", &address)] {
        let Err(error) = platform::start(Vec::new(), state, cloud) else {
            panic!("the port is taken");
        };
        let error = error.to_string();
        assert!(error.starts_with(&format!("can't listen on {address}: ")), "{error}");
        assert!(!error.contains('\n'), "{error}");
    }
}
