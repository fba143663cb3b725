//! Signals that are not to end a host.

use std::{
    net::{Ipv4Addr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};

/// Ends the process when it is dropped.
struct Host(Child);

impl Host {
    fn has_ended(&mut self) -> bool {
        let ended = self.0.try_wait();
        ended.expect("a child of this process").is_some()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn unused_port() -> u16 {
    let port = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    port.local_addr().expect("bound").port()
}

/// Guards against requests that are cut off because an operator sends SIGHUP, as to a gateway.
#[test]
fn a_host_outlives_a_hangup_signal() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("h1.ini");
    let (callers, peers, platform) = (unused_port(), unused_port(), unused_port());
    let settings = format!(
        "[host]\nid = h1\ndata_centre = dc\n[listen]\ncallers = 127.0.0.1:{callers}\n\
         peers = 127.0.0.1:{peers}\n[platform]\naddress = 127.0.0.1:{platform}\n"
    );
    std::fs::write(&path, settings).expect("the file is written");
    let child = Command::new(env!("CARGO_BIN_EXE_dragonflyrill-entry"))
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    let mut host = Host(child.expect("the process starts"));
    while TcpStream::connect((Ipv4Addr::LOCALHOST, callers)).is_err() {
        assert!(!host.has_ended(), "it listens");
        thread::sleep(Duration::from_millis(2));
    }
    kill_process(Pid::from_child(&host.0), Signal::HUP).expect("it runs");
    thread::sleep(Duration::from_millis(200));
    assert!(!host.has_ended());
}
