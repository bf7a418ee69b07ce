//! The operator file: the commands that check and show it, and reloads under load.
use expect_test::{expect, Expect};
use quillramp_load::experiment::Experiment;
use quillramp_load::generator::Outcome;
use quillramp_load::run::{run_variant, RunResult};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

fn create_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("operator-{name}"));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}

fn run_quillramp(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    command.args(arguments).env_remove("EDGE_CONFIG").env_remove("EDGE_OPERATOR");
    command.output().expect("the program starts")
}

fn exit_code(arguments: &[&str]) -> Option<i32> {
    run_quillramp(arguments).status.code()
}

/// Compares the exit code and the output of a command with the expected ones; paths in the output are
/// shortened to their file names.
fn assert_output(arguments: &[&str], expected: Expect) {
    let output = run_quillramp(arguments);
    let mut text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    for path in arguments.iter().filter(|argument| argument.contains('/')) {
        let file_name = Path::new(path).file_name().expect("the path ends in a file name").to_string_lossy();
        text = text.replace(path, &file_name);
    }
    expected.assert_eq(&format!("{}\n{text}", output.status.code().expect("an exit code")));
}

/// A valid operator file.
const VALID_OPERATOR_FILE: &str =
    "[[class]]\nname = \"short\"\nattempts = 2\nper_try = 0.3\ntimeout = 0.9\n\n\
                     [[route]]\noperations = [\"look\"]\nclass = \"short\"\n";

/// Paths of a valid operator file, of one that conflicts with the configuration, and of the configuration.
/// The files are removed at the end of the test.
struct CommandLineFiles {
    directory: PathBuf,
    valid: String,
    conflicting: String,
    configuration: String,
}

impl CommandLineFiles {
    fn create(name: &str) -> CommandLineFiles {
        let directory = create_directory(name);
        let write = |name: &str, text: &str| {
            let path = directory.join(name);
            std::fs::write(&path, text).expect("the file is written");
            path.to_string_lossy().into_owned()
        };
        CommandLineFiles {
            valid: write("good.toml", VALID_OPERATOR_FILE),
            conflicting: write("bad.toml", &VALID_OPERATOR_FILE.replace("look", "order")),
            configuration: write("c.json", include_str!("../../examples/configuration.json")),
            directory,
        }
    }
}

impl Drop for CommandLineFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory); // a panic here would hide that of the test
    }
}

#[test]
fn check_accepts_a_valid_file_and_reports_each_conflict_with_the_configuration() {
    let files = CommandLineFiles::create("check");
    assert_output(
        &["check", &files.valid],
        expect![[r#"
        0
        good.toml: valid; 1 classes, 1 routes; operations and plans were not checked, because no configuration is given
    "#]],
    );
    assert_output(
        &["check", &files.valid, "--configuration", &files.configuration],
        expect![[r#"
        0
        good.toml: valid; 1 classes, 1 routes
    "#]],
    );
    assert_output(
        &["check", &files.conflicting, "--configuration", &files.configuration],
        expect![[r#"
        1
        quillramp: bad.toml: line 3: class 'short'.attempts: expected 1, as a retry of the non-idempotent 'order' could take effect twice, found 2 (route on line 7)
        quillramp: bad.toml: line 4: class 'short'.per_try: expected no such key, as attempts of 'order', which is not idempotent, are not abandoned (route on line 7)
    "#]],
    );
}

#[test]
fn show_prints_the_limits_in_force_for_each_operation_and_where_they_are_set() {
    let files = CommandLineFiles::create("show");
    assert_output(
        &["show", &files.valid, "--configuration", &files.configuration],
        expect![[r#"
            0
            admission: off
            log: Plain; levels: default
            membership on the counter: off
            callers: no authentication
            broker: off

            look, idempotent
              all plans, all customers: class 'short' (route on line 7)
                attempts 2 (line 3)
                second copies yes (configuration)
                per try 0.3 s (line 4)
                latency objective 0.4 s (configuration)
                integration timeout 0.9 s (line 5)
              all other requests: as in the configuration
                attempts 5 (configuration)
                second copies yes (configuration)
                latency objective 0.4 s (configuration)
                integration timeout 1.5 s (configuration)

            slow, idempotent
              all other requests: as in the configuration
                attempts 5 (configuration)
                second copies yes (configuration)
                latency objective 0.4 s (configuration)
                integration timeout 1.5 s (configuration)

            order, non-idempotent
              all other requests: as in the configuration
                attempts 5 (configuration)
                second copies no (configuration)
                latency objective 1 s (configuration)
                integration timeout 3 s (configuration)

            fail, non-idempotent
              all other requests: as in the configuration
                attempts 5 (configuration)
                second copies no (configuration)
                latency objective 1 s (configuration)
                integration timeout 3 s (configuration)
        "#]],
    );
}

#[test]
fn check_reports_a_missing_file() {
    assert_output(
        &["check", "/nowhere/x.toml"],
        expect![[r#"
        1
        quillramp: x.toml: No such file or directory (os error 2)
    "#]],
    );
}

#[test]
fn wrong_arguments_are_rejected_and_help_and_completions_are_printed() {
    let files = CommandLineFiles::create("arguments");
    assert_eq!(exit_code(&["check"]), Some(2));
    assert_eq!(exit_code(&["chekc", &files.valid]), Some(2));
    assert_eq!(exit_code(&["--version"]), Some(0));
    let help = run_quillramp(&["--help"]);
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    let commands = ["serve", "check", "show", "completions"];
    assert!(commands.iter().all(|command| help.contains(command)), "{help}");
    let completions = run_quillramp(&["completions", "bash"]).stdout;
    assert!(String::from_utf8_lossy(&completions).contains("_quillramp()"));
}

/// The command `serve` reports the same error as the program without a command.
#[test]
fn serve_without_a_configuration_fails_at_startup() {
    assert_output(
        &["serve"],
        expect![[r#"
        1
        quillramp: EDGE_CONFIG names no configuration file
    "#]],
    );
}

/// Waits until the instance with this configuration file accepts connections.
fn wait_until_listening(configuration: &Path) {
    for _ in 0..2000 {
        if listen_address(configuration).is_some_and(|address| std::net::TcpStream::connect(address).is_ok())
        {
            return;
        }
        sleep(Duration::from_millis(5));
    }
    panic!("{}: the instance does not accept connections", configuration.display());
}

/// Returns the listen address in a configuration file; `None` while the file is missing or incomplete.
fn listen_address(configuration: &Path) -> Option<String> {
    let text = std::fs::read(configuration).ok()?;
    let configuration = serde_json::from_slice::<serde_json::Value>(&text).ok()?;
    configuration["listen"].as_str().map(str::to_owned)
}

const RELOADS: u32 = 100;

/// Returns an experiment with two instances that reload this operator file 100 times in total within 2 s.
fn experiment_with_reloads(operator_file: &Path) -> Experiment {
    let program = env!("CARGO_BIN_EXE_quillramp");
    let mut text = format!(
        "seed = 3\nrepetitions = 1\n[world]\ndoors = 2\nbackends = 4\nservice = 0.01\ncustomers = 40\n\
         [traffic]\nseconds = 2.2\nrate = 120.0\nconnections = 16\norders = 0.4\n\
         [[variant]]\nname = \"front door\"\nprogram = \"{program}\"\noperator = \"{}\"\n",
        operator_file.display()
    );
    for i in 0..RELOADS {
        let at = 0.02 * f64::from(i);
        text += &format!("[[fault]]\nat = {at:.3}\nkind = \"reload\"\ndoor = {}\n", i % 2);
    }
    Experiment::read(&text).expect("a valid experiment")
}

/// Writes these versions of a file in turn until the run is over.
fn rewrite_until(run_is_over: &AtomicBool, file: &Path, versions: &[&str]) {
    for version in versions.iter().cycle() {
        if run_is_over.load(Ordering::Relaxed) {
            return;
        }
        std::fs::write(file, version).expect("the file is written");
        sleep(Duration::from_millis(7));
    }
}

fn count(result: &RunResult, outcome: Outcome) -> usize {
    result.rows.iter().filter(|row| row.outcome == outcome).count()
}

/// Guards against requests that are lost, and attempts that are repeated, while the operator file is
/// reloaded. The file is valid, conflicting, truncated and empty in turn.
#[test]
fn an_operator_file_that_is_reloaded_under_load_loses_no_request() {
    let directory = create_directory("reload");
    let file = directory.join("operator.toml");
    let valid = VALID_OPERATOR_FILE.to_owned() + "\n[log]\nform = \"json\"\n";
    std::fs::write(&file, &valid).expect("the file is written");
    let experiment = experiment_with_reloads(&file);
    let run_is_over = AtomicBool::new(false);
    let result = std::thread::scope(|scope| {
        scope.spawn(|| {
            // An instance that accepts connections has read the file.
            (0..2).for_each(|i| wait_until_listening(&directory.join(format!("door-{i}.json"))));
            let conflicting = valid.replace("\"look\"", "\"order\"");
            let truncated = &valid[..valid.len() / 2];
            rewrite_until(&run_is_over, &file, &[&valid, &conflicting, truncated, ""]);
        });
        let result = run_variant(&experiment, &experiment.variants[0], 0, &directory);
        run_is_over.store(true, Ordering::Relaxed);
        result
    });
    let result = result.expect("the run succeeds");
    std::fs::remove_dir_all(&directory).expect("the directory of this test is removed");
    assert_eq!((result.summary.duplicates, result.summary.crashed), (0, 0));
    assert!(result.rows.len() > 200);
    assert_eq!((count(&result, Outcome::NoAnswer), count(&result, Outcome::NotConnected)), (0, 0));
    let succeeded = count(&result, Outcome::Succeeded);
    assert!(succeeded * 20 > result.rows.len() * 19, "{succeeded} of {} succeeded", result.rows.len());
}
