//! The link of a VM, as proxies that share one queue in each direction.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::{AsyncReadExt, AsyncWriteExt};

/// Bytes of one connection that wait in a queue at most, as a receive window bounds them.
const WINDOW_BYTES: usize = 8 * 1024;

/// Time at which each direction has passed all bytes that are in its queue: to the VM, then from it.
type Queues = [Mutex<Instant>; 2];

/// A link that passes this many bytes a second in each direction.
#[derive(Clone)]
pub struct SlowLink {
    queues: Arc<Queues>,
    /// Bytes that have passed to the VM.
    passed_to_vm: Arc<AtomicU64>,
    bytes_per_s: u32,
}

impl SlowLink {
    pub fn new(bytes_per_s: u32) -> Self {
        let free = || Mutex::new(Instant::now());
        Self {
            queues: Arc::new([free(), free()]),
            passed_to_vm: Arc::default(),
            bytes_per_s,
        }
    }

    /// Starts a proxy through which others reach a listener of the VM; returns its address.
    pub fn inward(&self, listener: SocketAddr) -> SocketAddr {
        self.start(listener, 0)
    }

    /// Starts a proxy through which the VM reaches another process; returns its address.
    pub fn outward(&self, target: SocketAddr) -> SocketAddr {
        self.start(target, 1)
    }

    fn start(&self, target: SocketAddr, direction: usize) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let listener = async_net::TcpListener::try_from(listener).unwrap();
        let link = self.clone();
        smol::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let link = link.clone();
                smol::spawn(async move { link.forward(client, target, direction).await }).detach();
            }
        })
        .detach();
        address
    }

    async fn forward(
        &self,
        client: async_net::TcpStream,
        target: SocketAddr,
        direction: usize,
    ) -> io::Result<()> {
        let server = async_net::TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let there = self.copy(client.clone(), server.clone(), direction);
        let back = self.copy(server, client, 1 - direction);
        smol::future::or(there, back).await
    }

    async fn copy(
        &self,
        mut from: async_net::TcpStream,
        mut to: async_net::TcpStream,
        direction: usize,
    ) -> io::Result<()> {
        let mut buf = vec![0; WINDOW_BYTES];
        loop {
            let count = from.read(&mut buf).await?;
            if count == 0 {
                return Ok(());
            }
            smol::Timer::at(self.enqueue(direction, count)).await;
            to.write_all(&buf[..count]).await?;
            if direction == 0 {
                let count = count as u64;
                self.passed_to_vm.fetch_add(count, Ordering::Relaxed);
            }
        }
    }

    /// Time at which bytes that enter a queue now have passed it.
    fn enqueue(&self, direction: usize, count: usize) -> Instant {
        let mut free = self.queues[direction].lock().unwrap();
        let takes = Duration::from_secs(count as u64) / self.bytes_per_s;
        *free = (*free).max(Instant::now()) + takes;
        *free
    }

    /// Bytes that have passed to the VM.
    pub fn passed_to_vm(&self) -> u64 {
        self.passed_to_vm.load(Ordering::Relaxed)
    }

    /// Time for which bytes to the VM wait now.
    pub fn wait_to_vm(&self) -> Duration {
        let free = self.queues[0].lock().unwrap();
        free.saturating_duration_since(Instant::now())
    }
}
