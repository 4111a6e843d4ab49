//! Types for job ids and machine names, so that the compiler tells them apart.
//!
//! Both are reference-counted strings that are cheap to clone. They compare, hash and print like the
//! string, so a map with such keys can be looked up by `&str`.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Rc<str>);

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> $name {
                $name(text.into())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&**self, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&**self, f)
            }
        }
    };
}

shared_name! {
    /// The id of a job, chosen by its user.
    JobId
}

shared_name! {
    /// The name of a machine, assigned by the cloud.
    MachineName
}

#[cfg(test)]
mod tests;
