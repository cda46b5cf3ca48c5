use super::*;

/// A connection whose queue is as long as the test says.
#[derive(Default)]
struct TestConnection {
    queued: AtomicUsize,
    reserved: AtomicUsize,
}

impl AnswerQueue for TestConnection {
    fn queued_memory(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }

    fn reserved_memory(&self) -> &AtomicUsize {
        &self.reserved
    }
}

/// Stated size, in KB, of an answer whose estimate is the longest one.
const LONGEST_KB: f64 = 1000.0;

fn new_memory() -> Arc<AnswerMemory> {
    let budget = Budget::from_limits(512, 64);
    Arc::new(AnswerMemory::new(&budget, Arc::new(MemoryAccount::with_limit(budget.unread))))
}

fn new_connection() -> Arc<dyn AnswerQueue> {
    Arc::new(TestConnection::default())
}

/// Reserves memory for the longest answers on a connection until it would have to wait.
fn fill(memory: &Arc<AnswerMemory>, connection: &Arc<dyn AnswerQueue>) -> Vec<AnswerReservation> {
    let try_once = |_| memory.acquire(connection, LONGEST_KB, &Caller::default(), Instant::now()).ok();
    std::iter::repeat(()).map_while(try_once).collect()
}

/// One client whose answers are long leaves half of the memory free, several leave as much as each holds, and
/// a client that holds nothing is admitted even then.
#[test]
fn connections_share_the_memory_of_answers() {
    let memory = new_memory();
    let longest = answer_memory(240_000);
    let connections: Vec<_> = (0..4).map(|_| new_connection()).collect();
    let first = fill(&memory, &connections[0]);
    let half = memory.admission_limit / 2;
    assert!(memory_of(&*connections[0]).abs_diff(half) <= longest);
    let others: Vec<_> = connections[1..].iter().map(|c| fill(&memory, c)).collect();
    assert!(others.iter().all(|answers| !answers.is_empty()), "each connection gets something");
    assert!(memory.account.used() <= memory.admission_limit);
    let newcomer = new_connection();
    let short = memory.acquire(&newcomer, 1.0, &Caller::default(), Instant::now());
    assert!(short.is_ok(), "a short answer fits beside the long ones");
    drop((first, others, short));
    assert_eq!((memory.account.used(), memory_of(&*connections[0])), (0, 0));
}

/// Queued answers count like requested ones, and a call that gets no memory in time, or whose client leaves, is
/// told so and holds nothing.
#[test]
fn a_call_without_memory_waits_until_its_deadline_or_its_client_leaves() {
    let memory = new_memory();
    let (slow, other) = (Arc::new(TestConnection::default()), new_connection());
    let mut queued = Reservation::new(memory.account.clone());
    queued.resize(memory.admission_limit);
    slow.queued.store(memory.admission_limit, Ordering::Relaxed);
    let slow: Arc<dyn AnswerQueue> = slow;
    let (caller, wait) = (Caller::default(), Duration::from_millis(40));
    let started = Instant::now();
    let refused = memory.acquire(&slow, LONGEST_KB, &caller, started + wait).err();
    assert_eq!(refused, Some(NoAnswerMemory::TimedOut));
    assert!(started.elapsed() >= wait && !memory.has_starved_call());
    caller.disconnect();
    let refused = memory.acquire(&other, LONGEST_KB, &caller, Instant::now() + Duration::from_secs(60)).err();
    assert_eq!(refused, Some(NoAnswerMemory::Disconnected));
    assert_eq!((memory_of(&*other), lock(&memory.waiting).calls.len()), (0, 0));
}

/// Memory that a client releases by reading goes to the waiting call whose connection holds least, although
/// another call came first.
#[test]
fn released_memory_goes_to_the_connection_that_holds_least() {
    let memory = new_memory();
    let (busy, quiet) = (new_connection(), new_connection());
    let mut queued = Reservation::new(memory.account.clone());
    let reserved = fill(&memory, &busy);
    queued.resize(memory.admission_limit - memory.account.used());
    let deadline = Instant::now() + Duration::from_secs(20);
    let wait_on = |connection: &Arc<dyn AnswerQueue>| {
        let (memory, connection) = (memory.clone(), connection.clone());
        std::thread::spawn(move || memory.acquire(&connection, LONGEST_KB, &Caller::default(), deadline))
    };
    let waiting = |count| lock(&memory.waiting).calls.len() == count;
    let first = wait_on(&busy);
    while !waiting(1) {
        std::thread::sleep(Duration::from_millis(1));
    }
    let second = wait_on(&quiet);
    while !waiting(2) {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(memory.has_starved_call());
    queued.resize(queued.bytes() - answer_memory(240_000));
    let granted = second.join().expect("the thread does not panic");
    assert!(granted.is_ok() && waiting(1), "only the quiet connection's call is granted");
    drop((queued, reserved));
    assert!(first.join().expect("the thread does not panic").is_ok());
}

/// An answer that is longer than its estimate is refused only if memory is short.
#[test]
fn an_answer_that_is_longer_than_expected_is_refused_when_memory_is_short() {
    let memory = new_memory();
    let connection = new_connection();
    let acquire = || memory.acquire(&connection, 1.0, &Caller::default(), Instant::now());
    let mut answer = acquire().unwrap_or_else(|e| panic!("a short answer fits: {e:?}"));
    assert!(answer.fits(240_000));
    assert_eq!(memory.account.used(), answer_memory(240_000));
    drop(answer);
    let mut answer = acquire().unwrap_or_else(|e| panic!("a short answer fits: {e:?}"));
    let mut queued = Reservation::new(memory.account.clone());
    queued.resize(memory.queue_limit - 100_000);
    assert!(!answer.fits(240_000) && answer.fits(50_000));
}

/// A call that another worker grants memory to may take it and end at once. The grant then found it without
/// memory, granted it some again, and dropped that under the lock that the drop takes: the worker waited for
/// itself.
#[test]
fn a_call_that_takes_its_memory_at_once_is_granted_it_once() {
    const ROUNDS: usize = 20_000;
    let memory = new_memory();
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let memory = memory.clone();
            std::thread::spawn(move || {
                let connection = new_connection();
                for _ in 0..ROUNDS {
                    let deadline = Instant::now() + Duration::from_secs(5);
                    drop(memory.acquire(&connection, LONGEST_KB, &Caller::default(), deadline));
                }
            })
        })
        .collect();
    let mut queued = Reservation::new(memory.account.clone());
    queued.resize(memory.admission_limit - answer_memory(240_000));
    let ends_by = Instant::now() + Duration::from_secs(20);
    while workers.iter().any(|worker| !worker.is_finished()) {
        assert!(Instant::now() < ends_by, "a worker waits for itself");
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(queued);
    assert_eq!((memory.account.used(), lock(&memory.waiting).calls.len()), (0, 0));
}
