//! Prints the tables that `docs/operate/import.md` contains.

fn main() {
    print!("{}", fernslip_import::coverage::markdown_tables());
}
