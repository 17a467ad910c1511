//! The repository's own checks can fail: each is run on a scratch repository with a planted fault.

use std::os::unix::fs::PermissionsExt as _;

struct Scratch(std::path::PathBuf);

impl Scratch {
    /// A repository that holds one of the scripts.
    fn with(name: &str, script: &str) -> Self {
        let folder = format!("topazyard-checks-{name}-{}", std::process::id());
        let scratch = Self(std::env::temp_dir().join(folder));
        let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let text = std::fs::read_to_string(root.join("scripts").join(script)).unwrap();
        scratch.write(&format!("scripts/{script}"), &text);
        let made = scratch.command("git").args(["init", "--quiet"]).status().unwrap();
        assert!(made.success());
        scratch
    }

    fn write(&self, path: &str, text: &str) {
        let path = self.0.join(path);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    }

    fn command(&self, program: &str) -> std::process::Command {
        let mut command = std::process::Command::new(program);
        command.current_dir(&self.0);
        command
    }

    /// Runs a script with `bin/` before other programs; gives whether it passed and all it said.
    fn run(&self, script: &str) -> (bool, String) {
        let path = std::env::var("PATH").unwrap();
        let path = format!("{}:{path}", self.0.join("bin").display());
        let output = self.command("bash").arg(script).env("PATH", path).output().unwrap();
        let said = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8(said).unwrap())
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_platform_name_outside_its_places_is_refused() {
    let scratch = Scratch::with("names", "check-names");
    scratch.write("programs/a/src/lib.rs", "// Topazyard-Token-Count is the product's own.\n");
    scratch.write("programs/a/tests/b.rs", "// Topazyard-Attempt-Id\n");
    scratch.write("platform/src/c.rs", "const CALL: &str = \"/api/lots\";\n");
    scratch.write("deploy/d.rs", "// route_table\n");
    assert_eq!(scratch.run("scripts/check-names"), (true, String::new()));

    for planted in
        ["topazyard-attempt-id", "/api/Configuration", "TOPAZYARD_SETTINGS", "route_table"]
    {
        scratch.write("programs/a/src/deep/e.rs", &format!("\n// {planted}\n"));
        let (passed, said) = scratch.run("scripts/check-names");
        assert!(!passed, "{planted} was let through");
        assert!(said.contains(&format!("programs/a/src/deep/e.rs:2:{planted}")), "{said}");
    }
}

/// Stands for cargo: it lists three tests, one of which fails. It fails too where that test is not
/// left out.
const CARGO: &str = r#"#!/usr/bin/env bash
case "$*" in
  *--list*) printf 'one::is_red: test\none::is_red_too: test\ntwo::is_well: test\n' ;;
  *"--exact --skip one::is_red") echo "the others"; exit "${OTHERS:-0}" ;;
  *"--exact one::is_red") exit 101 ;;
  *"--exact --skip two::is_well") echo "the others" ;;
  *"--exact two::is_well") echo "test result: ok. 1 passed; 0 failed" ;;
  *) echo "all of them"; exit 101 ;;
esac
"#;

#[test]
fn only_the_known_red_tests_may_fail() {
    let scratch = Scratch::with("red", "cargo-tests");
    scratch.write("bin/cargo", CARGO);
    let (passed, said) = scratch.run("scripts/cargo-tests");
    assert!(
        !passed && said.contains("all of them"),
        "without the file nothing is left out: {said}"
    );

    let line = "one::is_red | a real fault | issue 1";
    scratch.write("KNOWN-RED.txt", line);
    let (passed, said) = scratch.run("scripts/cargo-tests");
    assert!(passed && said.contains(&format!("known red: {line}")), "{said}");

    let line = "two::is_well | a fault that was mended | issue 2";
    scratch.write("KNOWN-RED.txt", &format!("{line}\n"));
    let (passed, said) = scratch.run("scripts/cargo-tests");
    assert!(passed && said.contains(&format!("no longer red: remove the line: {line}")), "{said}");

    scratch.write("KNOWN-RED.txt", "one::is_red | a real fault | issue 1\n");
    scratch.write("bin/cargo", &CARGO.replace("${OTHERS:-0}", "101"));
    let (passed, said) = scratch.run("scripts/cargo-tests");
    assert!(!passed && said.contains("the others"), "another test's failure counts: {said}");
}

#[test]
fn a_line_that_is_no_exact_test_is_refused() {
    let scratch = Scratch::with("lines", "cargo-tests");
    scratch.write("bin/cargo", CARGO);
    for line in
        ["one::is | a part of a name | issue 1", "one::is_red | no issue", "one::is_red", ""]
    {
        scratch.write("KNOWN-RED.txt", &format!("{line}\n"));
        let (passed, said) = scratch.run("scripts/cargo-tests");
        assert!(!passed && said.contains("KNOWN-RED.txt: "), "{line}: {said}");
    }
}
