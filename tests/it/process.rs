//! A router in its own process: shutdown by SIGTERM.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};

use filberttiller::demo::{Caller, ChatTurn, Fleet};
use rstest::rstest;
use serde_json::json;

use crate::membership::options;

/// A router in its own process; killed when dropped.
struct RouterProcess {
    child: Child,
    stderr: BufReader<ChildStderr>,
    address: SocketAddr,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl RouterProcess {
    /// Starts a router of `fleet` and waits until it accepts callers.
    fn start(fleet: &Fleet) -> RouterProcess {
        let settings = json!({
            "name": "entry-9", "domain": "luzon-a", "token": "change-this-token",
            "listen": "127.0.0.1:0", "control": "127.0.0.1:0",
            "log": fleet.log.addr(), "list": fleet.list.addr(),
            "traffic": { "threads": 1, "entry_ttl": "50ms" },
        });
        let file =
            std::env::temp_dir().join(format!("filberttiller-{}.json", rand::random::<u64>()));
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_filberttillerd"))
            .args(["--log-format", "json"])
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let mut process = RouterProcess { child, stderr, address: "127.0.0.1:1".parse().unwrap() };
        let line = process.wait_for("\"Started\"");
        std::fs::remove_file(file).unwrap();
        let (_, rest) = line.split_once("callers ").unwrap();
        process.address = rest.split(',').next().unwrap().parse().unwrap();
        process
    }

    /// Reads log lines up to the first that contains `text`.
    fn wait_for(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(self.stderr.read_line(&mut line).unwrap() > 0, "no log line contains {text}");
        }
        line
    }

    /// Sends SIGTERM.
    fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    /// Waits for the exit; returns the exit code and the rest of the log.
    fn wait_for_exit(mut self) -> (Option<i32>, String) {
        let mut rest = String::new();
        self.stderr.read_to_string(&mut rest).unwrap();
        (self.child.wait().unwrap().code(), rest)
    }
}

/// The first SIGTERM begins a drain, which lets the request in flight finish; a second one
/// closes its connection and ends the process with an error.
#[rstest]
#[case::one_signal(400, 1, Some(0))]
#[case::second_signal(1_000_000, 2, Some(1))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_ends_process(
    #[case] tokens: u32,
    #[case] signals: usize,
    #[case] code: Option<i32>,
) {
    let fleet = Fleet::start(options(0)).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let mut process = RouterProcess::start(&fleet);
    process.wait_for("\"Ready\"");
    let mut caller = Caller::new(&fleet.http, "dalisay", "chat-1");
    let messages = vec![json!({ "role": "user", "content": "which reeds are in stock" })];
    let addr = process.address;
    let short = ChatTurn { messages: &messages, tokens: 2, stream: false };
    while caller.send(addr, &short).await.is_err() {}
    let runs = |it: &Fleet| it.engines.iter().map(|e| e.total_runs()).sum::<u64>();
    let before = runs(&fleet);
    let answer = tokio::spawn(async move {
        caller.send(addr, &ChatTurn { messages: &messages, tokens, stream: true }).await
    });
    fleet.wait_until(|it| runs(it) > before).await;
    process.terminate();
    process.wait_for("ShutdownBegun");
    for _ in 1..signals {
        process.terminate();
    }
    let (exit_code, log) = tokio::task::block_in_place(|| process.wait_for_exit());
    assert_eq!(exit_code, code, "{log}");
    assert_eq!(answer.await.unwrap().is_ok(), signals == 1);
    assert_eq!(log.contains("were cut off"), signals == 2, "{log}");
}
