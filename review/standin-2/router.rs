//! A router of the build under test, as a process of its own.

#![allow(dead_code)] // Not every case uses all of it.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::system;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/filberttiller-platform";

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// What differs between the settings of routers.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub memory_mb: u32,
}

/// Free ports below those that the kernel gives to outgoing connections.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 1_000) as u16 * 16;
    let candidates = std::iter::repeat_with(|| first + NEXT.fetch_add(1, Ordering::Relaxed));
    let is_free = |it: &u16| TcpListener::bind(("127.0.0.1", *it)).is_ok();
    candidates.take(500).filter(is_free).take(count).collect()
}

/// Settings like those of the page on deployment, with the bounds of the first sheets.
fn settings_text(machine: &Machine<'_>, ports: &[u16]) -> String {
    let Machine { name, zone, store, memory_mb } = machine;
    let fds = if *memory_mb < 200 { 2870 } else { 8200 };
    let [front, ready, directory, first, last] = ports else { unreachable!() };
    format!(
        "nodeName={name}\nrole=router\nmachineClass=frontend\nserves=frontend,directory\n\
         ip=127.0.0.1\nzone={zone}\nregion=r\nzones.a=r\nzones.b=r\nzones.c=r\n\
         listenAddrs.frontend=127.0.0.1:{front}\nlistenAddrs.ready=127.0.0.1:{ready}\n\
         listenAddrs.directory=127.0.0.1:{directory}\ninternalPorts={first},{last}\n\
         seeds=\nbootstrap=true\nlimits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb={memory_mb}\n\
         limits.maxFds={fds}\nlimits.linkMbps=2000.0\nlimits.diskMb=0\ndiscovery=platform\n\
         entryMode=directory\nheartbeatMs=1200\n\
         activePolicies=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
         faultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
         bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
         bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
         bounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\nbounds.maxStretchMs=5000\n\
         bounds.strictRevocation=true\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
         bounds.budgetWindowS=10\nbounds.retrySlack=58\nbounds.recoveryS=12\nbounds.passMs=120\n\
         bounds.reuseWindowS=10\nbounds.capX=2\nbounds.ttl_max_s=5\nprovider.address={store}\n\
         provider.form=log\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.parts=12\n\
         provider.appendMs=2.0\nprovider.partitionMbS=20.0\nprovider.readMbS=80.0\n\
         provider.recordBytes=262144\nprovider.callBytes=2097152\nprovider.keep_s=300\n\
         provider.partMb=200\nprovider.ttlMinMs=1000\n"
    )
}

impl Router {
    pub fn start(folder: &Path, machine: &Machine<'_>) -> Router {
        let ports = free_ports(5);
        let settings = folder.join(format!("{}.conf", machine.name));
        fs::write(&settings, settings_text(machine, &ports)).expect("a temporary file");
        let log = folder.join(format!("{}.log", machine.name));
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Router {
            name: machine.name.to_owned(),
            callers: address(ports[0]),
            ready: address(ports[1]),
            directory: address(ports[2]),
            child: spawn(&settings, &log),
            settings,
            log,
        }
    }

    /// Starts the process again, after its end.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        crate::forget_process(self.child.id());
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn signal(&self, signal: i32) {
        system::signal(self.child.id(), signal);
    }

    /// The exit of the process, if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Resident memory in bytes, from the kernel's page on the process.
    pub fn memory(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    /// The most that the resident memory ever was.
    pub fn peak_memory(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    fn status_bytes(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|it| it.starts_with(name));
        let kb = line.and_then(|it| it.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        client::get(self.ready, "/ready", limit).is_ok_and(|it| it.status() == 200)
    }

    /// Waits until it is ready; the case cannot run if it does not become so.
    pub fn wait_ready(&self, time: Duration) {
        let until = Instant::now() + time;
        while !self.is_ready() {
            if Instant::now() >= until {
                crate::unable(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.signal(system::SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
        crate::forget_process(self.child.id());
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let file = || {
        let file = File::options().create(true).append(true).open(log);
        Stdio::from(file.expect("a temporary file"))
    };
    let mut command = Command::new(PROGRAM);
    let command = command.arg(settings).stdin(Stdio::null()).stdout(file()).stderr(file());
    let child = command.spawn();
    let child = child.unwrap_or_else(|e| crate::unable(&format!("{PROGRAM}: {e}")));
    crate::note_process(child.id());
    child
}
