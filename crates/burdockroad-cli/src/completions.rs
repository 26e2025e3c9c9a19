//! Shell completion scripts.

use std::str::FromStr;

use crate::help;

/// Shell with a completion script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// Z shell.
    Zsh,
    /// Fish.
    Fish,
}

impl FromStr for Shell {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            "fish" => Ok(Self::Fish),
            _ => Err(format!(
                "shell `{text}` is not supported; allowed: bash, zsh, fish"
            )),
        }
    }
}

impl Shell {
    /// Returns the script that completes the first and the second word of a command.
    pub fn script(self) -> String {
        match self {
            Self::Bash => bash(),
            Self::Zsh => format!("autoload -U +X bashcompinit && bashcompinit\n{}", bash()),
            Self::Fish => fish(),
        }
    }
}

fn bash() -> String {
    let cases = help::groups().into_iter().map(|group| {
        let verbs = help::verbs(group).join(" ");
        format!("    {group}) words=\"{verbs}\" ;;\n")
    });
    let cases: String = cases.collect();
    let groups = help::groups().join(" ");
    format!(
        "_burdockroad() {{\n  local words=\"\"\n  if [ \"$COMP_CWORD\" = 1 ]; then words=\"{groups}\"; fi\n  \
         if [ \"$COMP_CWORD\" = 2 ]; then case \"${{COMP_WORDS[1]}}\" in\n{cases}  esac; fi\n  \
         COMPREPLY=($(compgen -W \"$words\" -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n}}\n\
         complete -o default -F _burdockroad burdockroad\n"
    )
}

fn fish() -> String {
    let mut lines = Vec::new();
    for group in help::groups() {
        lines.push(format!(
            "complete -c burdockroad -n __fish_use_subcommand -a {group}"
        ));
        let verbs = help::verbs(group).into_iter();
        lines.extend(verbs.map(|verb| {
            format!("complete -c burdockroad -n '__fish_seen_subcommand_from {group}' -a {verb}")
        }));
    }
    lines.join("\n") + "\n"
}
