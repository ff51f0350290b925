//! A TCP proxy whose faults are switched at run time.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::{AsyncReadExt, AsyncWriteExt};

const HOLD_POLL: Duration = Duration::from_millis(2);
const READ_BYTES: usize = 16 * 1024;
const CHUNKS_HELD: usize = 64;

/// Which way bytes flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    ToTarget,
    ToClient,
    Both,
}

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Flow {
    held: bool,
    delay: Duration,
}

/// Flows to the target and to the client.
type Flows = [Flow; 2];

struct Link {
    flows: Mutex<Flows>,
    /// Closed when the connection is cut.
    cut: async_channel::Sender<()>,
    on_cut: async_channel::Receiver<()>,
}

#[derive(Default)]
struct State {
    for_new: Flows,
    refuse: bool,
    links: Vec<Arc<Link>>,
}

/// A proxy before one address.
pub struct Proxy {
    address: String,
    state: Arc<Mutex<State>>,
    accepted: Arc<AtomicU64>,
    task: Option<smol::Task<()>>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
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

    /// Address to connect to.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.state.lock().unwrap().links.len()
    }

    /// Ends every fault; bytes that were held arrive late.
    pub fn heal(&self) {
        self.change_all(|flow| *flow = Flow::default(), Direction::Both);
        self.state.lock().unwrap().refuse = false;
    }

    /// Forwards nothing in a direction, on open and on new connections.
    pub fn freeze(&self, direction: Direction) {
        self.change_all(|flow| flow.held = true, direction);
    }

    /// Forwards nothing on the connections that are open now; new ones work.
    pub fn freeze_open_connections(&self, direction: Direction) {
        let state = self.state.lock().unwrap();
        for link in &state.links {
            change(&mut link.flows.lock().unwrap(), direction, |flow| {
                flow.held = true;
            });
        }
    }

    /// Delays every byte, on open and on new connections.
    pub fn delay(&self, delay: Duration) {
        self.change_all(|flow| flow.delay = delay, Direction::Both);
    }

    /// Closes every connection, and new ones as soon as they open.
    pub fn cut(&self) {
        let mut state = self.state.lock().unwrap();
        state.refuse = true;
        for link in state.links.drain(..) {
            link.cut.close();
        }
    }

    fn change_all(&self, with: impl Fn(&mut Flow), direction: Direction) {
        let mut state = self.state.lock().unwrap();
        change(&mut state.for_new, direction, &with);
        for link in &state.links {
            change(&mut link.flows.lock().unwrap(), direction, &with);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.cut();
        drop(self.task.take());
    }
}

fn change(flows: &mut Flows, direction: Direction, with: impl Fn(&mut Flow)) {
    if direction != Direction::ToClient {
        with(&mut flows[0]);
    }
    if direction != Direction::ToTarget {
        with(&mut flows[1]);
    }
}

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
                flows: Mutex::new(state.for_new),
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

async fn forward(client: async_net::TcpStream, target: &str, link: &Link) -> io::Result<()> {
    let server = async_net::TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let to_target = pump(client.clone(), server.clone(), link, 0);
    let to_client = pump(server, client, link, 1);
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

/// Copies one direction; an end of the source is passed on like bytes are.
async fn pump(
    mut from: async_net::TcpStream,
    mut to: async_net::TcpStream,
    link: &Link,
    direction: usize,
) -> io::Result<()> {
    let (tx, rx) = async_channel::bounded::<(Instant, Vec<u8>)>(CHUNKS_HELD);
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
        while let Ok((came, bytes)) = rx.recv().await {
            wait_turn(link, direction, came).await;
            if bytes.is_empty() {
                return to.shutdown(std::net::Shutdown::Write);
            }
            to.write_all(&bytes).await?;
        }
        Ok(())
    };
    futures::try_join!(read, write).map(|_| ())
}

async fn wait_turn(link: &Link, direction: usize, came: Instant) {
    loop {
        let flow = link.flows.lock().unwrap()[direction];
        if !flow.held {
            smol::Timer::at(came + flow.delay).await;
            return;
        }
        smol::Timer::after(HOLD_POLL).await;
    }
}
