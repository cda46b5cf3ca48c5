//! The builds of the program that the fronts run: the build under test and, optionally, another one in the
//! same fleet.

use std::path::PathBuf;

/// The build that a front runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build under test.
    Own,
    /// The other build of a mixed fleet.
    Other,
}

/// The executable of a build and the features that it supports.
#[derive(Clone, Debug)]
pub struct Program {
    /// The path of the executable.
    pub path: PathBuf,
    /// Whether the program accepts `store` in a site document.
    pub supports_store: bool,
}

/// The fronts that start with the other build. The variant names, in lower case, are part of the rig's JSON
/// output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BuildMix {
    /// No front starts with the other build.
    #[default]
    Own,
    /// All fronts start with the other build.
    Other,
    /// Every second front, beginning with the second one, so that the first seed front of the view runs the
    /// build under test.
    Odd,
    /// Every second front, beginning with the first one.
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

/// The programs that the fronts of a run execute.
#[derive(Clone, Debug)]
pub struct Programs {
    own: Program,
    other: Option<Program>,
    mix: BuildMix,
}

impl Programs {
    /// Runs the build under test in all fronts.
    pub fn single_build(own: PathBuf) -> Programs {
        Programs { own: Program { path: own, supports_store: true }, other: None, mix: BuildMix::Own }
    }

    /// Adds another build to the build under test; the fronts selected by `mix` start with it.
    pub fn mixed_with(&self, other: Program, mix: BuildMix) -> Programs {
        Programs { own: self.own.clone(), other: Some(other), mix }
    }

    /// Returns the build with which the front at this endpoint starts.
    pub fn initial_build(&self, endpoint: usize) -> Build {
        self.mix.initial_build(endpoint)
    }

    /// Returns the program of a build. Without another build, this is always the program under test.
    pub fn program(&self, build: Build) -> &Program {
        match &self.other {
            Some(other) if build == Build::Other => other,
            _ => &self.own,
        }
    }
}
