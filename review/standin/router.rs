//! The project's program, started as the deploy file says, each as a process of its own.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{self, Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};
use crate::record::Record;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The words of `run` in the deploy file.
const PROGRAM: &str = "target/release/filberttiller-platform";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ports that were chosen from, so that none is chosen twice.
static NEXT_PORT: Mutex<Option<u16>> = Mutex::new(None);
/// The first port to choose from.
const FIRST_PORT: u16 = 10_000;
/// The last one, unless the system takes ports for outgoing connections from lower on.
const LAST_PORT: u16 = 32_000;

/// More ports than a case needs.
const PORTS_OF_CASE: u32 = 64;

/// A free port that no outgoing connection takes before the router listens there.
fn free_port() -> io::Result<u16> {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let lowest = range.split_whitespace().next().and_then(|it| it.parse::<u16>().ok());
    let end = lowest.map_or(LAST_PORT, |it| it.clamp(FIRST_PORT + 1_000, LAST_PORT));
    let mut next = NEXT_PORT.lock().unwrap();
    for _ in FIRST_PORT..end {
        // Cases that run at the same time choose from different ports.
        let first = process::id() * PORTS_OF_CASE % u32::from(end - FIRST_PORT);
        let start = || FIRST_PORT + first as u16;
        let port = next.unwrap_or_else(start);
        *next = Some(if port + 1 < end { port + 1 } else { FIRST_PORT });
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// One machine that runs the router.
pub struct RouterMachine {
    pub name: &'static str,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: String,
    work: String,
    record: Record,
    child: Option<Child>,
}

impl RouterMachine {
    /// Chooses free ports and writes the settings file in the folder `work`.
    pub fn new(
        name: &'static str,
        store: SocketAddr,
        work: &str,
        record: &Record,
    ) -> io::Result<RouterMachine> {
        let ports: Vec<u16> = (0..5).map(|_| free_port()).collect::<io::Result<_>>()?;
        let [callers, ready, directory, first, last] = ports[..] else { unreachable!() };
        let text = format!(
            "nodeName={name}\nrole=router\nmachineClass=frontend\nserves=frontend,directory\n\
             ip=127.0.0.1\nzone=a\nregion=r\nzones.a=r\nlistenAddrs.frontend=127.0.0.1:{callers}\n\
             listenAddrs.ready=127.0.0.1:{ready}\nlistenAddrs.directory=127.0.0.1:{directory}\n\
             internalPorts={first},{last}\nseeds=\nbootstrap=true\ninTolerance=false\n\
             limits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=520\nlimits.maxFds=8200\n\
             limits.linkMbps=2000.0\nlimits.diskMb=0\ndiscovery=platform\nentryMode=directory\n\
             heartbeatMs=1200\n\
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
        );
        let settings = format!("{work}/{name}.conf");
        fs::write(&settings, text)?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(RouterMachine {
            name,
            callers: address(callers),
            ready: address(ready),
            settings,
            work: work.to_owned(),
            record: record.clone(),
            child: None,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = format!("{}/{}.log", self.work, self.name);
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("FILBERTTILLER_SETTINGS", &self.settings);
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        let mut pids =
            File::options().create(true).append(true).open(format!("{}/pids", self.work))?;
        writeln!(pids, "{}", child.id())?;
        self.record.line(format!("router {} is started", self.name));
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            self.record.line(format!("router {} gets signal {signal}", self.name));
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Waits for the end of the process after a signal that ends it.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let status = child.wait();
            self.record.line(format!("router {} has ended: {status:?}", self.name));
        }
    }

    /// Waits until the router says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.ask_ready().is_ok_and(|it| it == Some(200)) {
                self.record.line(format!("router {} is ready", self.name));
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    fn ask_ready(&self) -> io::Result<Option<u16>> {
        let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n")?;
        let mut stream = BufReader::new(stream);
        let head = read_head(&mut stream)?;
        if let Some(head) = &head {
            read_body(&mut stream, head)?;
        }
        Ok(head.and_then(|it| it.status()))
    }
}

impl Drop for RouterMachine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
