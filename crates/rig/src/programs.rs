//! The builds of the program that fronts run: the one under test, and optionally another one in the same fleet.

use std::path::PathBuf;

/// Which build a front runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build under test.
    Own,
    /// The other one.
    Other,
}

/// A build's program file and what it can do.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// Whether it accepts `store` in a site document.
    pub supports_store: bool,
}

/// Which fronts start with the other build. The names, in lower case, stand in the rig's JSON output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BuildMix {
    /// None.
    #[default]
    Own,
    /// All.
    Other,
    /// Every second one, from the second on: the first seed of the view runs the own build.
    Odd,
    /// Every second one, from the first on.
    Even,
}

impl BuildMix {
    fn initial_build(self, endpoint: usize) -> Build {
        let other = match self {
            BuildMix::Own => false,
            BuildMix::Other => true,
            BuildMix::Odd => endpoint % 2 == 1,
            BuildMix::Even => endpoint % 2 == 0,
        };
        if other {
            Build::Other
        } else {
            Build::Own
        }
    }
}

/// The programs of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    own: Program,
    other: Option<Program>,
    mix: BuildMix,
}

impl Programs {
    /// One build for all fronts.
    pub fn one(own: PathBuf) -> Programs {
        Programs { own: Program { path: own, supports_store: true }, other: None, mix: BuildMix::Own }
    }

    /// The same own build beside another one, with which the fronts named by `mix` start.
    pub fn mixed_with(&self, other: Program, mix: BuildMix) -> Programs {
        Programs { own: self.own.clone(), other: Some(other), mix }
    }

    /// The build that a front starts with.
    pub fn initial_build(&self, endpoint: usize) -> Build {
        self.mix.initial_build(endpoint)
    }

    /// The program of a build; the own one where there is no other.
    pub fn program(&self, build: Build) -> &Program {
        match &self.other {
            Some(other) if build == Build::Other => other,
            _ => &self.own,
        }
    }
}
