//! The command line of the platform stand-in.

/// Text printed by `--help`.
pub const USAGE: &str = "\
Usage: platform [--state ADDRESS] [--cloud ADDRESS] [CONTROLLER]...

A stand-in for the platform: state service, cloud and workers, to try mountgap on one machine.

  CONTROLLER         where node-0, node-1 and so on listen, in this order [127.0.0.1:8080]
  --state ADDRESS    where the state service listens [127.0.0.1:2379]
  --cloud ADDRESS    where the cloud listens [127.0.0.1:8443]
  --help             print this
";

const DEFAULT_STATE: &str = "127.0.0.1:2379";
const DEFAULT_CLOUD: &str = "127.0.0.1:8443";
const DEFAULT_CONTROLLER: &str = "127.0.0.1:8080";

/// The action requested on the command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Request {
    /// Print the usage.
    Help,
    /// Serve until killed.
    Serve(Options),
}

/// The addresses to use.
#[derive(Debug, PartialEq, Eq)]
pub struct Options {
    /// Address of the state service.
    pub state: String,
    /// Address of the cloud.
    pub cloud: String,
    /// Addresses of the controllers, in the order of their labels.
    pub controllers: Vec<String>,
}

/// Why the command line is invalid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// An option lacks its address.
    #[error("{0} needs an address")]
    MissingAddress(String),
    /// There is no such option.
    #[error("unknown option {0}, see --help")]
    UnknownOption(String),
}

/// Parses the arguments after the program's name.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Request, OptionsError> {
    let mut options = Options {
        state: DEFAULT_STATE.into(),
        cloud: DEFAULT_CLOUD.into(),
        controllers: Vec::new(),
    };
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--help" | "-h" => return Ok(Request::Help),
            "--state" => options.state = address_of(argument, &mut arguments)?,
            "--cloud" => options.cloud = address_of(argument, &mut arguments)?,
            option if option.starts_with('-') => {
                return Err(OptionsError::UnknownOption(argument));
            }
            _ => options.controllers.push(argument),
        }
    }
    if options.controllers.is_empty() {
        options.controllers.push(DEFAULT_CONTROLLER.into());
    }
    Ok(Request::Serve(options))
}

fn address_of(
    option: String,
    arguments: &mut impl Iterator<Item = String>,
) -> Result<String, OptionsError> {
    arguments.next().ok_or(OptionsError::MissingAddress(option))
}
