//! The platform's store: a log with keyed topics, producers and groups.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::PARTS;
use crate::Request;
use crate::json::Json;
use crate::serve;

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// Largest number of records in an answer to a read of the newest ones.
const PAGE: usize = 500;
/// Number of answers that a producer's repeats may get again.
const REMEMBERED: usize = 5;

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    last: Vec<(u64, String)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
}

struct Member {
    expires: Instant,
    held: BTreeSet<u32>,
    target: BTreeSet<u32>,
}

#[derive(Default)]
struct State {
    parts: BTreeMap<(String, u32), Partition>,
    groups: BTreeMap<String, Group>,
}

/// What the store does to the calls that write.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// It answers all calls with 503 and does nothing.
    Busy,
    /// It does a share of the writes, in hundredths, and doesn't answer them.
    Lost(u64),
    /// It does a share of the writes, in hundredths, 1 to 6 s later, and doesn't answer.
    Late(u64),
}

/// A handle of the store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    fault: Arc<Mutex<(Fault, u64)>>,
}

impl Store {
    pub fn serve(&self, addr: SocketAddr) -> std::io::Result<()> {
        let store = self.clone();
        serve(addr, Arc::new(move |request| store.answer_or_fail(request)))
    }

    pub fn set_fault(&self, fault: Fault) {
        self.fault.lock().unwrap().0 = fault;
    }

    /// Deals all partitions of all groups anew, at once.
    pub fn rebalance(&self) {
        for group in self.state.lock().unwrap().groups.values_mut() {
            group.generation += 1;
            let count = group.members.len().max(1) as u32;
            let turn = group.generation as u32;
            for (index, member) in (0..).zip(group.members.values_mut()) {
                member.target = (0..PARTS).filter(|p| (p + turn) % count == index).collect();
                member.held = member.target.clone();
            }
        }
    }

    fn answer_or_fail(&self, request: Request) -> Option<(u16, Vec<u8>)> {
        let (fault, random) = {
            let mut fault = self.fault.lock().unwrap();
            fault.1 = fault
                .1
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (fault.0, fault.1 >> 33)
        };
        let is_write = request.method == "POST";
        match fault {
            Fault::Busy => Some((503, b"{}".to_vec())),
            Fault::Lost(share) if is_write && random % 100 < share => {
                self.answer(&request);
                None
            }
            Fault::Late(share) if is_write && random % 100 < share => {
                let store = self.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(1_000 + random / 100 % 5_000));
                    store.answer(&request);
                });
                None
            }
            _ => Some(self.answer(&request)),
        }
    }

    /// Appends a keyed record, as the operator does.
    pub fn put(&self, topic: &str, part: u32, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.lock().unwrap();
        let partition = state.parts.entry((topic.to_owned(), part)).or_default();
        partition.records.push(record);
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        thread::sleep(ANSWER);
        let text = |key: &str| request.query.get(key).cloned();
        let number = |key: &str| text(key).and_then(|n| n.parse::<u64>().ok());
        let topic = text("topic").unwrap_or_default();
        let part = number("part").unwrap_or(0) as u32;
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/log-newest") => {
                self.newest(&topic, part, &text("after").unwrap_or_default())
            }
            ("GET", "/api/log-read") => {
                let wait_ms = number("wait_ms").unwrap_or(0);
                self.read(&topic, part, number("from").unwrap_or(0), wait_ms)
            }
            ("POST", "/api/log-append") => self.append(&topic, part, request),
            ("POST", "/api/log-join") => self.join(&request.body),
            ("POST", "/api/log-leave") => self.leave(&request.body),
            ("GET", "/api/log-owners") => self.owners(&text("group").unwrap_or_default()),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn newest(&self, topic: &str, part: u32, after: &str) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let records = &state
            .parts
            .entry((topic.to_owned(), part))
            .or_default()
            .records;
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.insert(key, (offset, &record[length + 1..]));
        }
        let is_wanted = |(key, (_, value)): &(&String, &(usize, &[u8]))| {
            key.as_str() > after && !value.is_empty()
        };
        let wanted: Vec<_> = newest.iter().filter(is_wanted).collect();
        let is_truncated = wanted.len() > PAGE;
        let items: Vec<String> = wanted
            .into_iter()
            .take(PAGE)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let body = format!("{{\"items\":[{items}],\"truncated\":{is_truncated},\"end\":{end}}}");
        (200, body.into_bytes())
    }

    fn read(&self, topic: &str, part: u32, from: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let records = &state
                    .parts
                    .entry((topic.to_owned(), part))
                    .or_default()
                    .records;
                if (from as usize) < records.len() || Instant::now() >= until {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for record in records.iter().skip(from as usize) {
                        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        body.extend_from_slice(record);
                    }
                    return (200, body);
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn append(&self, topic: &str, part: u32, request: &Request) -> (u16, Vec<u8>) {
        let number = |key: &str| request.query.get(key).and_then(|n| n.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        let partition = state.parts.entry((topic.to_owned(), part)).or_default();
        let named = request
            .query
            .get("producer")
            .zip(number("epoch"))
            .zip(number("seq"));
        if let Some(((name, epoch), seq)) = named {
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return (409, b"{\"reason\":\"fenced\"}".to_vec());
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, first)) = producer.last.iter().find(|(last, _)| *last == seq) {
                return (200, first.clone().into_bytes());
            }
            if let Some(expected) = producer.next.filter(|next| *next != seq) {
                let body = format!("{{\"reason\":\"seq\",\"seq\":{expected}}}");
                return (409, body.into_bytes());
            }
        }
        let offset = partition.records.len();
        if number("expected_end").is_some_and(|expected| expected != offset as u64) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            partition.records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let body = format!(
            "{{\"offset\":{offset},\"end\":{}}}",
            partition.records.len()
        );
        if let Some(((name, _), seq)) = named {
            let producer = partition.producers.entry(name.clone()).or_default();
            producer.next = Some(seq + 1);
            producer.last.push((seq, body.clone()));
            let excess = producer.last.len().saturating_sub(REMEMBERED);
            producer.last.drain(..excess);
        }
        (200, body.into_bytes())
    }

    fn join(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let (Some(group), Some(member)) = (body.text("group"), body.text("member")) else {
            return (400, b"{}".to_vec());
        };
        let topic = body.texts("topics").into_iter().next().unwrap_or_default();
        let ttl = Duration::from_millis(body.number("ttl_ms").unwrap_or(1_000).max(1_000));
        let known = body.number("generation").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(group).or_default();
        let held = group.join(&member, ttl, known);
        let rows: Vec<String> = held
            .iter()
            .map(|p| format!("[\"{topic}\",{p},0]"))
            .collect();
        let (generation, rows) = (group.generation, rows.join(","));
        let body = format!("{{\"generation\":{generation},\"parts\":[{rows}]}}");
        (200, body.into_bytes())
    }

    fn leave(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(body.text("group").unwrap_or_default())
            .or_default();
        if group
            .members
            .remove(&body.text("member").unwrap_or_default())
            .is_some()
        {
            group.assign();
        }
        (200, b"{}".to_vec())
    }

    fn owners(&self, name: &str) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(name.to_owned()).or_default();
        group.expire();
        let rows = group.members.iter().flat_map(|(member, m)| {
            let row = move |p: &u32| format!("[\"keyed.jobs\",{p},\"{member}\",0]");
            m.held.iter().map(row)
        });
        let rows: Vec<String> = rows.collect();
        (
            200,
            format!("{{\"owners\":[{}]}}", rows.join(",")).into_bytes(),
        )
    }
}

impl Group {
    fn join(&mut self, name: &str, ttl: Duration, known: u64) -> Vec<u32> {
        self.expire();
        let expires = Instant::now() + ttl;
        if let Some(member) = self.members.get_mut(name) {
            member.expires = expires;
        } else {
            let (held, target) = (BTreeSet::new(), BTreeSet::new());
            self.members.insert(
                name.to_owned(),
                Member {
                    expires,
                    held,
                    target,
                },
            );
            self.assign();
        }
        if known >= self.generation
            && let Some(member) = self.members.get_mut(name)
        {
            // The member has given up what is no longer listed.
            let target = member.target.clone();
            member.held.retain(|part| target.contains(part));
        }
        self.fill();
        let member = &self.members[name];
        member.held.intersection(&member.target).copied().collect()
    }

    fn expire(&mut self) {
        let before = self.members.len();
        self.members
            .retain(|_, member| member.expires > Instant::now());
        if self.members.len() != before {
            self.assign();
        }
        self.fill();
    }

    /// Divides the partitions evenly among the members, in a new generation.
    fn assign(&mut self) {
        self.generation += 1;
        let count = self.members.len().max(1) as u32;
        for (index, member) in (0..).zip(self.members.values_mut()) {
            member.target = (0..PARTS).filter(|part| part % count == index).collect();
        }
    }

    /// Gives the partitions that nobody holds to the members that are to hold them.
    fn fill(&mut self) {
        let held: BTreeSet<u32> = self.members.values().flat_map(|m| m.held.clone()).collect();
        for member in self.members.values_mut() {
            let free: Vec<u32> = member.target.difference(&held).copied().collect();
            member.held.extend(free);
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(DIGITS[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
