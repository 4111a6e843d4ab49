//! The simulated platform of `examples/platform.rs`: its command line, and its errors for ports in use.

#[path = "../examples/platform.rs"]
#[allow(dead_code, reason = "its main function is not used here")]
mod platform;

use platform::options::{parse, Options, OptionsError, Request};
use std::net::TcpListener;

fn parse_arguments(arguments: &[&str]) -> Result<Request, OptionsError> {
    parse(arguments.iter().map(|argument| argument.to_string()))
}

#[test]
fn options_have_defaults_and_other_arguments_are_controllers() {
    let options = |state: &str, cloud: &str, controllers: &[&str]| {
        let controllers = controllers.iter().map(|address| address.to_string()).collect();
        Ok(Request::Serve(Options { state: state.into(), cloud: cloud.into(), controllers }))
    };
    assert_eq!(
        parse_arguments(&[]),
        options("127.0.0.1:2379", "127.0.0.1:8443", &["127.0.0.1:8080"])
    );
    let given = parse_arguments(&["a:1", "--state", "s:2", "b:3", "--cloud", "c:4"]);
    assert_eq!(given, options("s:2", "c:4", &["a:1", "b:3"]));
    assert_eq!(parse_arguments(&["a:1", "--help"]), Ok(Request::Help));
}

#[test]
fn invalid_options_give_a_one_line_error() {
    let error =
        |arguments: &[&str]| parse_arguments(arguments).expect_err("an invalid option").to_string();
    assert_eq!(error(&["--cloud"]), "--cloud needs an address");
    assert_eq!(error(&["--stat", "s:2"]), "unknown option --stat, see --help");
}

#[test]
fn a_port_in_use_gives_a_one_line_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    for (state, cloud) in [(address.as_str(), "127.0.0.1:0"), ("127.0.0.1:0", &address)] {
        let Err(error) = platform::start(Vec::new(), state, cloud) else {
            panic!("no error although the port is in use");
        };
        let error = error.to_string();
        assert!(error.starts_with(&format!("can't listen on {address}: ")), "{error}");
        assert!(!error.contains('\n'), "{error}");
    }
}
