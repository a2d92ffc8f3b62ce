//! The processes and stand-ins of one proof.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

use anyhow::Context;
use config::Document;
use http::StatusCode;
use serde_json::Value;
use standin::{Caller, FaultProxy, Ledger, ListedInstance, ListedState, Platform};

use crate::node::{Link, Node, NodeSpec, Place};
use crate::wait::until;

const SEED: u64 = 0x00be_0a1d;
const SHOWN_LOG_LINES: usize = 40;

/// Describes a rig before it runs.
#[derive(Debug)]
pub struct RigBuilder {
    program: PathBuf,
    document: Option<Document>,
    nodes: Vec<NodeSpec>,
}

/// Daemons as real processes among stand-ins. Ends all of them when dropped.
#[derive(Debug)]
pub struct Rig {
    /// The platform of all daemons.
    pub platform: Platform,
    /// What ran at any target.
    pub ledger: Ledger,
    /// A client for callers and operators.
    pub caller: Caller,
    nodes: Vec<Node>,
    dir: Directory,
    program: PathBuf,
}

impl RigBuilder {
    /// Sets the document that is published before the daemons start.
    #[must_use]
    pub fn document(mut self, document: Document) -> Self {
        self.document = Some(document);
        self
    }

    /// Adds an instance.
    #[must_use]
    pub fn node(mut self, spec: NodeSpec) -> Self {
        self.nodes.push(spec);
        self
    }

    /// Starts everything, and waits until each daemon is ready and knows all instances.
    ///
    /// # Errors
    ///
    /// If a process or stand-in does not start.
    pub async fn start(self) -> anyhow::Result<Rig> {
        let rig = self.start_unready().await?;
        for node in &rig.nodes {
            rig.until_ready(&node.spec.id).await;
            rig.until_knows(&node.spec.id, rig.nodes.len()).await;
        }
        Ok(rig)
    }

    /// Starts everything, without waiting for readiness.
    ///
    /// # Errors
    ///
    /// If a process or stand-in does not start.
    pub async fn start_unready(self) -> anyhow::Result<Rig> {
        let platform = Platform::start().await?;
        if let Some(document) = &self.document {
            platform.publish(document);
        }
        let mut rig = Rig {
            platform,
            ledger: Ledger::default(),
            caller: Caller::new(),
            nodes: Vec::new(),
            dir: Directory::create()?,
            program: self.program,
        };
        for spec in self.nodes {
            rig.launch(spec).await?;
        }
        rig.publish_list();
        Ok(rig)
    }
}

impl Rig {
    /// Starts the description of a rig that runs this program as its daemons.
    #[must_use]
    pub fn builder(program: impl Into<PathBuf>) -> RigBuilder {
        RigBuilder {
            program: program.into(),
            document: None,
            nodes: Vec::new(),
        }
    }

    /// Adds an instance to the running rig, and to the instance list.
    ///
    /// # Errors
    ///
    /// If its process or stand-in does not start.
    pub async fn add(&mut self, spec: NodeSpec) -> anyhow::Result<()> {
        self.launch(spec).await?;
        self.publish_list();
        Ok(())
    }

    /// Takes an instance away, ends its daemon, and publishes the list without it.
    ///
    /// # Panics
    ///
    /// If there is no such instance.
    pub fn remove(&mut self, id: &str) -> Node {
        let position = self.nodes.iter().position(|node| node.spec.id == id);
        let node = self.nodes.remove(position.expect("a known instance"));
        self.publish_list();
        node
    }

    /// Starts the daemon of an instance anew, and publishes where it listens.
    ///
    /// # Errors
    ///
    /// If it does not start.
    pub async fn restart(&mut self, id: &str) -> anyhow::Result<()> {
        let program = self.program.clone();
        self.node_mut(id).restart(&program).await?;
        self.publish_list();
        Ok(())
    }

    /// Marks an instance as leaving in the list.
    pub fn list_leaving(&mut self, id: &str) {
        self.node_mut(id).state = ListedState::Leaving;
        self.publish_list();
    }

    /// Publishes the list of all instances.
    pub fn publish_list(&self) {
        let listed: Vec<ListedInstance> = self.nodes.iter().map(Node::listed).collect();
        self.platform.set_instances(&listed);
    }

    /// All instances.
    #[must_use]
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// One instance.
    ///
    /// # Panics
    ///
    /// If there is none of this name.
    #[must_use]
    pub fn node(&self, id: &str) -> &Node {
        let node = self.nodes.iter().find(|node| node.spec.id == id);
        node.expect("a known instance")
    }

    /// One instance, to signal or restart it.
    ///
    /// # Panics
    ///
    /// If there is none of this name.
    pub fn node_mut(&mut self, id: &str) -> &mut Node {
        let node = self.nodes.iter_mut().find(|node| node.spec.id == id);
        node.expect("a known instance")
    }

    /// The proxy on a link of an instance.
    ///
    /// # Panics
    ///
    /// If the instance was started without one.
    #[must_use]
    pub fn proxy(&self, id: &str, link: Link) -> &FaultProxy {
        self.node(id).proxy(link).expect("a proxy on this link")
    }

    /// Waits until a daemon says that it is ready.
    ///
    /// # Panics
    ///
    /// If it does not become ready; the last answer is then printed, or that one is missing.
    pub async fn until_ready(&self, id: &str) {
        let seen = LastSeen::new(id, self.node(id).daemon.bound().admin);
        let ready = async || {
            seen.replace("asked, no answer yet".to_owned());
            match self.admin(id, "ready").await {
                Ok((StatusCode::OK, _)) => true,
                Ok((status, text)) => {
                    seen.replace(format!("{status} {text}"));
                    false
                }
                Err(error) => {
                    seen.replace(format!("{error:#}"));
                    false
                }
            }
        };
        until(&format!("{id} is ready"), ready).await;
    }

    /// Waits until a daemon knows of so many live instances.
    ///
    /// # Panics
    ///
    /// If it does not come to know of them.
    pub async fn until_knows(&self, id: &str, instances: usize) {
        let what = format!("{id} knows of {instances} instances");
        until(&what, async || self.live_members(id).await == instances).await;
    }

    /// Instances that a daemon holds for live.
    pub async fn live_members(&self, id: &str) -> usize {
        let Some(status) = self.status(id).await else {
            return 0;
        };
        let members = status["members"].as_array();
        let live = |member: &&Value| member["standing"] == "live";
        members.map_or(0, |members| members.iter().filter(live).count())
    }

    /// What a daemon tells operators of its state.
    pub async fn status(&self, id: &str) -> Option<Value> {
        let (_, text) = self.admin(id, "status").await.ok()?;
        serde_json::from_str(&text).ok()
    }

    /// True if a daemon says that it is ready.
    pub async fn is_ready(&self, id: &str) -> bool {
        let answer = self.admin(id, "ready").await;
        answer.is_ok_and(|(status, _)| status == StatusCode::OK)
    }

    /// Reads an admin page of a daemon.
    ///
    /// # Errors
    ///
    /// If it does not answer, or not with text.
    pub async fn admin(&self, id: &str, page: &str) -> anyhow::Result<(StatusCode, String)> {
        let admin = self.node(id).daemon.bound().admin;
        let (status, body) = self.caller.get(&format!("http://{admin}/{page}")).await?;
        Ok((status, String::from_utf8(body.to_vec())?))
    }

    async fn launch(&mut self, spec: NodeSpec) -> anyhow::Result<()> {
        let place = Place {
            program: &self.program,
            dir: self.dir.path(),
            platform: self.platform.address(),
        };
        let id = spec.id.clone();
        let node = Node::start(spec, &place, self.ledger.clone(), SEED).await;
        self.nodes
            .push(node.with_context(|| format!("instance {id}"))?);
        Ok(())
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for node in &self.nodes {
            let log = node.daemon.log();
            eprintln!("{} threads: {}", node.spec.id, threads(node.daemon.pid()));
            let shown = log.len().saturating_sub(SHOWN_LOG_LINES);
            eprintln!("--- {} ---\n{}", node.spec.id, log[shown..].join("\n"));
        }
    }
}

/// State and place in the kernel of each thread of a process, such as `S futex_do_wait`; a
/// process that is stopped is in state `T`.
fn threads(pid: u32) -> String {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else {
        return "ended".to_owned();
    };
    let thread = |task: std::fs::DirEntry| {
        let read = |name| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let stat = read("stat");
        let state = stat.rsplit(')').next().unwrap_or_default();
        let state = state.split_whitespace().next().unwrap_or("?").to_owned();
        format!("{state} {}", read("wchan"))
    };
    let threads: Vec<String> = tasks.flatten().map(thread).collect();
    threads.join(", ")
}

/// What was seen last of a daemon that is waited for; printed if the wait ends in a panic.
struct LastSeen<'a> {
    id: &'a str,
    admin: SocketAddr,
    text: Mutex<String>,
}

impl<'a> LastSeen<'a> {
    fn new(id: &'a str, admin: SocketAddr) -> Self {
        LastSeen {
            id,
            admin,
            text: Mutex::default(),
        }
    }

    fn replace(&self, text: String) {
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }
}

impl Drop for LastSeen<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
            eprintln!("{} at {}: {text}", self.id, self.admin);
        }
    }
}

/// A directory of this rig alone, removed when dropped.
#[derive(Debug)]
struct Directory(PathBuf);

impl Directory {
    fn create() -> anyhow::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("berylhead-proof-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).with_context(|| path.display().to_string())?;
        Ok(Directory(path))
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // What is left behind is in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
