//! Routers in processes of their own.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};

use filberttiller::demo::{Caller, ChatTurn, Fleet};
use rstest::rstest;
use serde_json::json;

use crate::membership::options;

/// A router in a process of its own.
struct Process {
    child: Child,
    stderr: BufReader<ChildStderr>,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a router of `fleet` and waits until it serves callers.
    fn start(fleet: &Fleet) -> Process {
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
        let mut process = Process { child, stderr, address: "127.0.0.1:1".parse().unwrap() };
        let line = process.wait_for("\"Started\"");
        std::fs::remove_file(file).unwrap();
        let (_, rest) = line.split_once("callers ").unwrap();
        process.address = rest.split(',').next().unwrap().parse().unwrap();
        process
    }

    /// Reads log lines up to one that contains `text`.
    fn wait_for(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(self.stderr.read_line(&mut line).unwrap() > 0, "no line with {text}");
        }
        line
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    /// Exit code and the rest of the log.
    fn end(mut self) -> (Option<i32>, String) {
        let mut rest = String::new();
        self.stderr.read_to_string(&mut rest).unwrap();
        (self.child.wait().unwrap().code(), rest)
    }
}

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
    let mut process = Process::start(&fleet);
    process.wait_for("\"Ready\"");
    let mut caller = Caller::new(&fleet.http, "dalisay", "chat-1");
    let messages = vec![json!({ "role": "user", "content": "which reeds are in stock" })];
    let addr = process.address;
    let short = ChatTurn { messages: &messages, tokens: 2, stream: false };
    while caller.send(addr, &short).await.is_err() {}
    let runs = |it: &Fleet| it.engines.iter().map(|e| e.total_runs()).sum::<u64>();
    let before = runs(&fleet);
    let asked = tokio::spawn(async move {
        caller.send(addr, &ChatTurn { messages: &messages, tokens, stream: true }).await
    });
    fleet.wait_until(|it| runs(it) > before).await;
    process.terminate();
    process.wait_for("ShutdownBegun");
    for _ in 1..signals {
        process.terminate();
    }
    let (found, log) = tokio::task::block_in_place(|| process.end());
    assert_eq!(found, code, "{log}");
    assert_eq!(asked.await.unwrap().is_ok(), signals == 1);
    assert_eq!(log.contains("were cut off"), signals == 2, "{log}");
}
