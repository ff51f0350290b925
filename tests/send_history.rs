//! Random requests and answers on the connections of one server: no answer is taken for another request's.

use fulmarproxy::coordination::send_history::{Owner, SendHistory};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// One step of a play: a request is sent, by its number, and the server answers with some of what it may
/// have to say.
#[derive(Clone, Debug)]
struct Step {
    /// Number of the request; 0 for one without an id.
    request: u8,
    /// Connection that the pool offers first.
    connection: usize,
    /// Whether late copies of earlier answers come before the answer.
    copies_come: bool,
    /// Whether the server leaves the id out of the answer, and of a copy of it.
    answer_is_unnamed: bool,
    copy_is_unnamed: bool,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            request: u8::arbitrary(g) % 6,
            connection: usize::arbitrary(g),
            copies_come: bool::arbitrary(g),
            answer_is_unnamed: u8::arbitrary(g).is_multiple_of(8),
            copy_is_unnamed: u8::arbitrary(g).is_multiple_of(8),
        }
    }
}

/// An answer, with the number of the send that it is the answer to.
#[derive(Clone)]
struct Answer {
    send: usize,
    named: Option<String>,
}

#[derive(Default)]
struct Connection {
    history: SendHistory,
    /// Copies of answers that are still to come.
    copies: Vec<Answer>,
}

fn id(request: u8) -> String {
    match request {
        0 => String::new(),
        number => format!("r{number}"),
    }
}

/// Reads answers up to the one that is taken for the newest request's; `None` when it is uncertain.
fn read<'a>(history: &SendHistory, id: &str, answers: &'a [Answer]) -> Option<&'a Answer> {
    let owner = |answer: &&Answer| history.owner(id, answer.named.as_deref()) != Owner::Other;
    let answer = answers.iter().find(owner)?;
    (history.owner(id, answer.named.as_deref()) == Owner::Newest).then_some(answer)
}

quickcheck! {
    /// The same ids are sent over and over, to a server that repeats its answers with and without ids.
    fn an_answer_is_taken_only_for_the_send_that_it_answers(steps: Vec<Step>) -> bool {
        let mut idle: Vec<Connection> = Vec::new();
        steps.iter().enumerate().all(|(send, step)| {
            let id = id(step.request);
            let from = step.connection % (idle.len() + 1);
            let found = (from..idle.len()).find(|at| idle[*at].history.admits(&id));
            let mut conn = found.map_or_else(Connection::default, |at| idle.remove(at));
            conn.history.record_send(&id);
            let answer = Answer {
                send,
                named: (!step.answer_is_unnamed && !id.is_empty()).then(|| id.clone()),
            };
            let mut answers = match step.copies_come {
                true => std::mem::take(&mut conn.copies),
                false => Vec::new(),
            };
            answers.push(answer.clone());
            let taken = read(&conn.history, &id, &answers).cloned();
            // As the gateway does, a connection is kept after an answer that names its request.
            if taken.as_ref().is_some_and(|taken| taken.named.is_some()) {
                let named = answer.named.filter(|_| !step.copy_is_unnamed);
                conn.copies.push(Answer { send, named });
                idle.push(conn);
            }
            taken.is_none_or(|taken| taken.send == send)
        })
    }
}
