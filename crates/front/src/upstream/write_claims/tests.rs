use super::*;

/// A path in the folder for temporary files. The file is removed when the test ends.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str) -> TempFile {
        TempFile(std::env::temp_dir().join(format!("fernslip-writes-{name}-{}", std::process::id())))
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn an_id_can_be_claimed_again_only_after_its_release() {
    let file = TempFile::new("again");
    for shared_file in [None, Some(file.0.clone())] {
        let claims = WriteClaims::new(shared_file);
        for id in [0, 1, 2, u64::MAX - 1].map(RequestId) {
            assert_eq!(claims.claim(id), Claim::Granted);
            assert_eq!(claims.claim(id), Claim::AlreadyBegun);
            claims.release(id);
            assert_eq!([claims.claim(id), claims.claim(id)], [Claim::Granted, Claim::AlreadyBegun]);
        }
    }
}

/// Two processes claim the same ids at the same time: each id is granted to one of them.
#[test]
fn an_id_is_granted_to_one_of_two_processes() {
    let file = TempFile::new("two");
    let processes = [(); 2].map(|()| WriteClaims::new(Some(file.0.clone())));
    let granted: Vec<usize> = std::thread::scope(|threads| {
        let claimed_by = |process: &WriteClaims| {
            (0..500).filter(|id| process.claim(RequestId(*id)) == Claim::Granted).count()
        };
        let threads = processes.each_ref().map(|process| threads.spawn(move || claimed_by(process)));
        threads.into_iter().map(|t| t.join().expect("the thread does not panic")).collect()
    });
    assert_eq!(granted.iter().sum::<usize>(), 500, "{granted:?}");
}

/// A client that sends many ids displaces old claims of their buckets, and no others; the file does not grow.
#[test]
fn the_latest_claims_of_a_bucket_remain() {
    let file = TempFile::new("many");
    let claims = WriteClaims::new(Some(file.0.clone()));
    let same_bucket: Vec<RequestId> =
        (0..).map(RequestId).filter(|id| bucket_index(*id) == 7).take(BUCKET_IDS + 1).collect();
    for id in &same_bucket {
        assert_eq!(claims.claim(*id), Claim::Granted);
    }
    for id in &same_bucket[1..] {
        assert_eq!(claims.claim(*id), Claim::AlreadyBegun);
    }
    assert_eq!(claims.claim(same_bucket[0]), Claim::Granted, "the oldest was displaced");
    let bytes = std::fs::metadata(&file.0).expect("the file exists").len();
    assert!(bytes <= BUCKETS * BUCKET_BYTES as u64, "{bytes}");
}

/// Writes go on although the file cannot be used, and this process knows its own claims.
#[test]
fn claims_go_on_without_the_file() {
    let claims = WriteClaims::new(Some(std::env::temp_dir().join("fernslip-no-folder/writes")));
    assert_eq!([(); 2].map(|()| claims.claim(RequestId(5))), [Claim::Granted, Claim::AlreadyBegun]);
}
