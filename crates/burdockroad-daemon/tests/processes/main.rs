//! Real daemons, stand-ins and failures: each of them a process.

mod first_path;
mod site;
