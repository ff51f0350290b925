//! A TCP proxy that injects network faults, which tests switch on and off while it runs.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::{AsyncReadExt, AsyncWriteExt};

/// Interval at which a frozen direction checks whether it may forward again.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(2);
const READ_BYTES: usize = 16 * 1024;
/// Chunks read ahead and buffered per direction before the sender is blocked.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Direction in which bytes flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    ToTarget,
    ToClient,
    Both,
}

/// Faults applied to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FlowFaults {
    frozen: bool,
    delay: Duration,
}

/// Faults by direction: to the target, then to the client.
type Faults = [FlowFaults; 2];

/// A connection of a client through the proxy.
struct Link {
    faults: Mutex<Faults>,
    /// Sends nothing; closing it closes the connection.
    cut: async_channel::Sender<()>,
    on_cut: async_channel::Receiver<()>,
}

#[derive(Default)]
struct State {
    /// Faults that new connections start with.
    new_link_faults: Faults,
    /// Whether new connections are closed as soon as they open.
    refuse: bool,
    links: Vec<Arc<Link>>,
}

/// A running proxy that forwards connections to one target address.
pub struct Proxy {
    address: String,
    state: Arc<Mutex<State>>,
    accepted: Arc<AtomicU64>,
    task: Option<smol::Task<()>>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free loopback port.
    pub fn start(target: &str) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let listener = async_net::TcpListener::try_from(listener).unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        let accepted = Arc::new(AtomicU64::new(0));
        let task = smol::spawn(accept(
            listener,
            target.to_owned(),
            state.clone(),
            accepted.clone(),
        ));
        Self {
            address,
            state,
            accepted,
            task: Some(task),
        }
    }

    /// Address on which the proxy listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Number of connections accepted so far, without those that were refused.
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Number of connections that are open.
    pub fn open_connections(&self) -> usize {
        self.state.lock().unwrap().links.len()
    }

    /// Ends all faults; bytes that were held back are then forwarded.
    pub fn heal(&self) {
        self.update_all(|faults| *faults = FlowFaults::default(), Direction::Both);
        self.state.lock().unwrap().refuse = false;
    }

    /// Stops forwarding in a direction, on open and on new connections; bytes are held back.
    pub fn freeze(&self, direction: Direction) {
        self.update_all(|faults| faults.frozen = true, direction);
    }

    /// Stops forwarding in a direction on the connections that are open now; new ones work.
    pub fn freeze_open_connections(&self, direction: Direction) {
        let state = self.state.lock().unwrap();
        for link in &state.links {
            update(&mut link.faults.lock().unwrap(), direction, |faults| {
                faults.frozen = true;
            });
        }
    }

    /// Has new connections forward again. Those that are open keep their faults for good.
    pub fn thaw_new_connections(&self) {
        self.state.lock().unwrap().new_link_faults = Faults::default();
    }

    /// Delays all bytes in both directions, on open and on new connections.
    pub fn delay(&self, delay: Duration) {
        self.update_all(|faults| faults.delay = delay, Direction::Both);
    }

    /// Closes all connections, and new ones as soon as they open.
    pub fn cut(&self) {
        let mut state = self.state.lock().unwrap();
        state.refuse = true;
        for link in state.links.drain(..) {
            link.cut.close();
        }
    }

    /// Changes the faults of open and new connections.
    fn update_all(&self, with: impl Fn(&mut FlowFaults), direction: Direction) {
        let mut state = self.state.lock().unwrap();
        update(&mut state.new_link_faults, direction, &with);
        for link in &state.links {
            update(&mut link.faults.lock().unwrap(), direction, &with);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.cut();
        drop(self.task.take());
    }
}

fn update(faults: &mut Faults, direction: Direction, with: impl Fn(&mut FlowFaults)) {
    if direction != Direction::ToClient {
        with(&mut faults[0]);
    }
    if direction != Direction::ToTarget {
        with(&mut faults[1]);
    }
}

/// Accepts connections and forwards each in a task of its own.
async fn accept(
    listener: async_net::TcpListener,
    target: String,
    state: Arc<Mutex<State>>,
    accepted: Arc<AtomicU64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let link = {
            let mut state = state.lock().unwrap();
            if state.refuse {
                continue;
            }
            let (cut, on_cut) = async_channel::bounded(1);
            let link = Arc::new(Link {
                faults: Mutex::new(state.new_link_faults),
                cut,
                on_cut,
            });
            state.links.push(link.clone());
            link
        };
        accepted.fetch_add(1, Ordering::SeqCst);
        let (target, state) = (target.clone(), state.clone());
        smol::spawn(async move {
            let _ = forward(client, &target, &link).await;
            let mut state = state.lock().unwrap();
            state.links.retain(|other| !Arc::ptr_eq(other, &link));
        })
        .detach();
    }
}

/// Forwards a connection in both directions until it ends or is cut.
async fn forward(client: async_net::TcpStream, target: &str, link: &Link) -> io::Result<()> {
    let server = async_net::TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let to_target = copy(client.clone(), server.clone(), link, 0);
    let to_client = copy(server, client, link, 1);
    let both = async {
        futures::try_join!(to_target, to_client)?;
        Ok(())
    };
    smol::future::or(both, async {
        let _ = link.on_cut.recv().await;
        Ok(())
    })
    .await
}

/// Copies one direction. The end of the source is passed on too, with the same faults as the bytes.
async fn copy(
    mut from: async_net::TcpStream,
    mut to: async_net::TcpStream,
    link: &Link,
    direction: usize,
) -> io::Result<()> {
    let (tx, rx) = async_channel::bounded::<(Instant, Vec<u8>)>(MAX_BUFFERED_CHUNKS);
    let read = async move {
        let mut buf = vec![0; READ_BYTES];
        loop {
            let count = from.read(&mut buf).await?;
            let _ = tx.send((Instant::now(), buf[..count].to_vec())).await;
            if count == 0 {
                return Ok(());
            }
        }
    };
    let write = async move {
        while let Ok((received_at, bytes)) = rx.recv().await {
            apply_faults(link, direction, received_at).await;
            if bytes.is_empty() {
                return to.shutdown(std::net::Shutdown::Write);
            }
            to.write_all(&bytes).await?;
        }
        Ok(())
    };
    futures::try_join!(read, write).map(|_| ())
}

/// Waits until a chunk that was received at a given time may be forwarded.
async fn apply_faults(link: &Link, direction: usize, received_at: Instant) {
    loop {
        let faults = link.faults.lock().unwrap()[direction];
        if !faults.frozen {
            smol::Timer::at(received_at + faults.delay).await;
            return;
        }
        smol::Timer::after(FREEZE_POLL_INTERVAL).await;
    }
}
