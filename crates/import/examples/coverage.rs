//! Prints the tables of `docs/operate/import.md`.

fn main() {
    print!("{}", fernslip_import::coverage::markdown());
}
