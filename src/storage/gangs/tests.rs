//! Tests of [`super`], the module `gangs`.
