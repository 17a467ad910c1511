//! Tests of the scripts that check the repository: each must fail on a scratch repository with an
//! injected fault.

use std::os::unix::fs::PermissionsExt as _;

struct Scratch(std::path::PathBuf);

impl Scratch {
    /// Creates a repository that contains one of the scripts.
    fn with(name: &str, script: &str) -> Self {
        let folder = format!("topazyard-checks-{name}-{}", std::process::id());
        let scratch = Self(std::env::temp_dir().join(folder));
        let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let text = std::fs::read_to_string(root.join("scripts").join(script)).unwrap();
        scratch.write(&format!("scripts/{script}"), &text);
        let status = scratch.command("git").args(["init", "--quiet"]).status().unwrap();
        assert!(status.success());
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

    /// Runs a script with `bin/` first in the path. Returns whether it passed, and its output.
    fn run(&self, script: &str) -> (bool, String) {
        let path = std::env::var("PATH").unwrap();
        let path = format!("{}:{path}", self.0.join("bin").display());
        let output = self.command("bash").arg(script).env("PATH", path).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8(text).unwrap())
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn platform_names_outside_their_folders_are_refused() {
    let scratch = Scratch::with("names", "check-names");
    scratch.write("programs/a/src/lib.rs", "// Topazyard-Token-Count is the product's own.\n");
    scratch.write("programs/a/tests/b.rs", "// Topazyard-Attempt-Id\n");
    scratch.write("platform/src/c.rs", "const CALL: &str = \"/api/lots\";\n");
    scratch.write("deploy/d.rs", "// route_table\n");
    assert_eq!(scratch.run("scripts/check-names"), (true, String::new()));

    for name in ["topazyard-attempt-id", "/api/Configuration", "TOPAZYARD_SETTINGS", "route_table"]
    {
        scratch.write("programs/a/src/deep/e.rs", &format!("\n// {name}\n"));
        let (passed, output) = scratch.run("scripts/check-names");
        assert!(!passed, "{name} was accepted");
        assert!(output.contains(&format!("programs/a/src/deep/e.rs:2:{name}")), "{output}");
    }
}

/// A replacement for cargo with three tests, one of which fails. A run of all tests fails unless
/// that test is skipped.
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
fn only_tests_listed_as_known_red_may_fail() {
    let scratch = Scratch::with("red", "cargo-tests");
    scratch.write("bin/cargo", CARGO);
    let (passed, output) = scratch.run("scripts/cargo-tests");
    assert!(
        !passed && output.contains("all of them"),
        "without the file no test is skipped: {output}"
    );

    let line = "one::is_red | a real fault | issue 1";
    scratch.write("KNOWN-RED.txt", line);
    let (passed, output) = scratch.run("scripts/cargo-tests");
    assert!(passed && output.contains(&format!("known red: {line}")), "{output}");

    let line = "two::is_well | a fault that was mended | issue 2";
    scratch.write("KNOWN-RED.txt", &format!("{line}\n"));
    let (passed, output) = scratch.run("scripts/cargo-tests");
    assert!(
        passed && output.contains(&format!("no longer red: remove the line: {line}")),
        "{output}"
    );

    scratch.write("KNOWN-RED.txt", "one::is_red | a real fault | issue 1\n");
    scratch.write("bin/cargo", &CARGO.replace("${OTHERS:-0}", "101"));
    let (passed, output) = scratch.run("scripts/cargo-tests");
    assert!(
        !passed && output.contains("the others"),
        "the failure of another test counts: {output}"
    );
}

#[test]
fn listed_cases_and_seeds_are_printed_and_skip_no_test() {
    let scratch = Scratch::with("cases", "cargo-tests");
    scratch.write("bin/cargo", CARGO);
    let lines = [
        "case 1 | review/1/run.sh | batches are gone | issue 35",
        "soak | fleet-soak --profile all --seed 9 --seconds 22 | LOST | issue 7",
        "simulator | fleet-simulator --scenario ceiling --seed 7100 | a slow read | issue 15",
    ];
    for line in lines {
        scratch.write("KNOWN-RED.txt", &format!("{line}\none::is_red | a real fault | issue 1\n"));
        let (passed, output) = scratch.run("scripts/cargo-tests");
        assert!(passed && output.contains(line) && output.contains("the others"), "{output}");
    }
    scratch.write("KNOWN-RED.txt", &lines.join("\n"));
    let (passed, output) = scratch.run("scripts/cargo-tests");
    assert!(!passed, "all tests run, and the red one isn't listed: {output}");
}

/// A run of the soak that fails for one seed.
const SOAK: &str = r#"#!/usr/bin/env bash
case "$*" in
  *"--seed 23 "*) exit "${RED_EXIT:-1}" ;;
esac
"#;

#[test]
fn only_seeds_of_the_soak_listed_as_known_red_may_fail() {
    let scratch = Scratch::with("soak", "soak");
    scratch.write("bin/cargo", "#!/usr/bin/env bash\n");
    scratch.write("target/debug/fleet-soak", SOAK);
    let (passed, output) = scratch.run("scripts/soak");
    assert!(!passed && output.contains("soak: failed"), "{output}");

    let command = "fleet-soak --profile all --seed 23 --seconds 22";
    scratch.write("KNOWN-RED.txt", &format!("soak | {command} | LOST | issue 7\n"));
    let (passed, output) = scratch.run("scripts/soak");
    assert!(passed && output.contains(&format!("known red: {command}")), "{output}");

    scratch.write("KNOWN-RED.txt", "soak | fleet-soak --profile all --seed 2 | LOST | issue 7\n");
    assert!(!scratch.run("scripts/soak").0, "another seed is listed");

    let command = "fleet-soak --profile leaving --seed 5 --seconds 20";
    scratch.write("KNOWN-RED.txt", &format!("soak | {command} | LOST | issue 7\n"));
    let (_, output) = scratch.run("scripts/soak");
    assert!(output.contains(&format!("no longer red: remove the line of: {command}")), "{output}");
}

#[test]
fn lines_that_do_not_name_one_test_are_refused() {
    let scratch = Scratch::with("lines", "cargo-tests");
    scratch.write("bin/cargo", CARGO);
    for line in [
        "one::is | a part of a name | issue 1",
        "one::is_red | no issue",
        "one::is_red",
        "",
        "case 1 | review/1/run.sh | no issue | 35",
        "case 1 | rm x | another command | issue 1",
        " | review/1/run.sh | no name | issue 1",
    ] {
        scratch.write("KNOWN-RED.txt", &format!("{line}\n"));
        let (passed, output) = scratch.run("scripts/cargo-tests");
        assert!(!passed && output.contains("KNOWN-RED.txt: "), "{line}: {output}");
    }
}
