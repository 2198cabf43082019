//! Entries of the object store whose names have to be encoded or that cannot be read, before a store
//! that decodes paths and queries, refuses what is no URI, and gives lists in pages.

mod gateway_support;
mod support;

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use gateway_support::{HOST, Instance, Store, Worker, config, keeper, platform};
use gentianpath::clock;
use serde_json::{Value, json};
use support::{http, until};

const PAUSE: Duration = Duration::from_millis(2);
/// Objects of a page.
const PAGE: usize = 10;
/// Bytes of a name that no URI can hold.
const ENDLESS_NAME: usize = 20_000;
/// Number of stores and instances that a test uses at once.
const AT_ONCE: usize = 4;

/// Returns names that mean something else in a path or query unless they are encoded, or that cannot
/// stand there.
fn odd_names() -> Vec<String> {
    let names = [
        "m&x",
        "m+x",
        "m#x",
        "m%a",
        "m%zz",
        "m%7a",
        "m%2Fa",
        "m%00",
        "m?x",
        "m/x",
        "m=x",
        "m x",
        "m\"x",
        "m'x",
        "m\u{1}x",
        "m\nx",
        "m\r\nX: y",
        "m\0x",
        "m\u{7f}",
        "m\\x",
        "mäx",
        "m日本",
        "m\u{10ffff}",
        "m;x",
        "m@x:y",
        "m[x]",
        "m{x}",
        "m|^`<>",
        "m%",
        "m&after=m",
        ".",
        "..",
        "...",
        "%2E",
        "%2e%2e",
        "m/../x",
        " ",
        "é",
    ];
    let mut names: Vec<String> = names.map(str::to_owned).into();
    names.push("m".repeat(2000));
    names
}

/// Returns items of a list that cannot be read as an object of a name.
fn unreadable_items(name: &str) -> Vec<Vec<u8>> {
    let item = |metadata: &str, spec: &str| {
        format!("{{\"metadata\":{metadata},\"spec\":{spec},\"status\":null}}").into_bytes()
    };
    let named = |spec: &str| item(&format!("{{\"name\":\"{name}\",\"rev\":2}}"), spec);
    let revised = |rev: &str| item(&format!("{{\"name\":\"{name}\",\"rev\":{rev}}}"), "{}");
    let broken = |mut item: Vec<u8>| {
        for byte in item.iter_mut().filter(|b| **b == b'!') {
            *byte = 0xff;
        }
        item
    };
    let long = "n".repeat(ENDLESS_NAME);
    vec![
        b"{\"spec\":{}}".to_vec(),
        item("null", "{}"),
        item("{\"rev\":2}", "{}"),
        item("{\"name\":5,\"rev\":2}", "{}"),
        item("{\"name\":null,\"rev\":2}", "{}"),
        item("{\"name\":\"\",\"rev\":2}", "{}"),
        item("{\"name\":\"b\\ud800\",\"rev\":2}", "{}"),
        item(&format!("{{\"name\":\"{long}\",\"rev\":2}}"), "{}"),
        broken(item("{\"name\":\"b!\",\"rev\":2}", "{}")),
        broken(named("\"!\"")),
        named("NaN"),
        named("\"\u{1}\""),
        revised("-1"),
        revised("\"2\""),
        revised("1e30"),
        b"null".to_vec(),
        b"5".to_vec(),
        b"\"]}\"".to_vec(),
        b"[]".to_vec(),
    ]
}

fn add_worker(store: &Store, id: &str) -> Worker {
    let worker = Worker::start(id, 2, PAUSE);
    store.put("servers", id, worker.entry("ready"));
    worker
}

fn until_used(instance: &Instance, worker: &Worker) {
    let before = worker.runs().len();
    until("the instance uses the worker", || {
        instance.stream("/resumable/x", &format!("r{}", fastrand::u64(..)));
        worker.runs().len() > before
    });
}

/// Requires that all of some requests are served.
fn assert_serves(instance: &Instance) {
    for _ in 0..10 {
        let id = format!("s{}", fastrand::u64(..));
        let answer = instance.stream("/resumable/x", &id);
        assert_eq!(answer.map(|a| a.status), Some(200));
    }
}

/// Returns the lines of a log on entries that are left out.
fn reports(log: &Path) -> Vec<String> {
    let text = String::from_utf8_lossy(&std::fs::read(log).unwrap()).into_owned();
    let events = ["worker-invalid", "entry-invalid", "job-invalid"];
    let is_report = |line: &&str| events.iter().any(|e| line.contains(&format!("event={e} ")));
    text.lines().filter(is_report).map(str::to_owned).collect()
}

/// Requires that a process has no more than one line on each entry that it leaves out.
fn assert_reported_once(log: &Path, count: usize) {
    let reports = reports(log);
    assert!(reports.len() <= count, "{count} entries: {reports:#?}");
}

/// Starts two instances that use the same store.
fn start_two(store: &Store) -> [Instance; 2] {
    let one = Instance::start("one", store, &[]);
    let two = Instance::start("two", store, &[one.peers]);
    [one, two]
}

/// Calls a function for each of the cases, some at a time.
fn for_each_case<T: Sync>(cases: &[T], run: impl Fn(&T) + Sync) {
    let numbers: Vec<usize> = (0..cases.len()).collect();
    for chunk in numbers.chunks(AT_ONCE) {
        thread::scope(|scope| {
            for number in chunk {
                let name = format!("case {number}");
                let case = thread::Builder::new().name(name);
                let run = || run(&cases[*number]);
                case.spawn_scoped(scope, run).unwrap();
            }
        });
    }
}

/// Guards against a log that one entry fills, as it is read again with each change of the others.
#[test]
fn entries_that_cannot_be_used_are_logged_once() {
    let (store, _workers) = platform(2, PAUSE);
    let kinds = [
        "servers",
        "batch-jobs",
        "blocked-requests",
        "stream-versions",
        "entry-instances",
    ];
    for kind in kinds {
        store.put(kind, "odd", json!({ "odd": true }));
    }
    let instance = Instance::start_for_jobs("one", &store);
    let revised = |version| {
        let mut odd = config(version);
        odd["routes"] = "odd".into();
        odd
    };
    store.put("config", "main", revised(2));
    for n in 0..20 {
        store.put("servers", &format!("x{n}"), json!({ "odd": true }));
        store.put("servers", "odd", json!({ "odd": n }));
        thread::sleep(Duration::from_millis(100));
    }
    assert_serves(&instance);
    assert_reported_once(&instance.log, kinds.len() + 20);
    let reports = reports(&instance.log);
    for kind in ["worker-invalid", "job-invalid"] {
        assert!(reports.iter().any(|r| r.contains(kind)), "{reports:#?}");
    }
    for kind in &kinds[2..] {
        let kind = format!("kind={kind} entry=\"odd\"");
        assert!(reports.iter().any(|r| r.contains(&kind)), "{reports:#?}");
    }
    let text = std::fs::read_to_string(&instance.log).unwrap();
    assert_eq!(text.matches("event=config-invalid").count(), 1);
}

/// Guards against a list of workers that stops, skips some or reads others again at a name that ends
/// a page: before the start of the instances, while they run and after a restart of all.
#[test]
fn odd_names_hide_no_worker() {
    let store = Store::start();
    store.set_page(1);
    store.put("config", "main", config(1));
    let names = odd_names();
    for name in &names {
        store.put("servers", name, json!({ "odd": true }));
    }
    let worker = add_worker(&store, "m~");
    for instance in start_two(&store) {
        assert_serves(&instance);
        assert_reported_once(&instance.log, names.len());
    }
    let instances = start_two(&store);
    instances.iter().for_each(assert_serves);
    let lists = store.lists("servers");
    for name in &names {
        store.put("servers", &format!("later-{name}"), json!({ "odd": true }));
    }
    let later = add_worker(&store, "z~");
    store.remove("servers", &worker.id);
    for instance in &instances {
        until_used(instance, &later);
        assert_serves(instance);
        assert_reported_once(&instance.log, 2 * names.len());
    }
    assert!(store.lists("servers") - lists <= 2 * names.len() + 2);
}

/// Guards against one entry that cannot be read and that hides the others of its list, of its page or
/// of a batch of changes: before the start, while instances run and after a restart of all.
#[test]
fn unreadable_entries_hide_no_worker() {
    for_each_case(&unreadable_items("b"), |item| {
        let store = Store::start();
        store.set_page(PAGE);
        store.put("config", "main", config(1));
        for n in 1..PAGE {
            store.put("servers", &format!("a{n}"), json!({ "odd": true }));
        }
        store.put_raw("servers", "b", item);
        let worker = add_worker(&store, "c");
        store.put_raw("servers", "d", item);
        for instance in start_two(&store) {
            assert_serves(&instance);
        }
        let instances = start_two(&store);
        instances.iter().for_each(assert_serves);
        let lists = store.lists("servers");
        store.put_raw("servers", "e", item);
        let later = add_worker(&store, "f");
        store.remove("servers", &worker.id);
        for instance in &instances {
            until_used(instance, &later);
            assert_serves(instance);
            assert_reported_once(&instance.log, PAGE + 2);
            assert!(
                reports(&instance.log)
                    .iter()
                    .any(|r| r.contains("kind=servers"))
            );
        }
        assert!(store.lists("servers") - lists <= 4);
    });
}

/// Guards against a worker that stays in use after its entry was replaced by one that cannot be read.
#[test]
fn a_worker_whose_entry_becomes_unreadable_is_out_of_use() {
    let items = unreadable_items("w1");
    let named: Vec<Vec<u8>> = items
        .into_iter()
        .filter(|i| i.windows(10).any(|w| w == b"\"name\":\"w1"))
        .collect();
    assert!(named.len() > 4);
    for_each_case(&named, |item| {
        let (store, [first, second]) = platform(2, PAUSE);
        let instance = Instance::start("one", &store, &[]);
        until_used(&instance, &first);
        store.put_raw("servers", "w1", item);
        thread::sleep(Duration::from_millis(500));
        let before = first.runs().len();
        assert_serves(&instance);
        assert_eq!(first.runs().len(), before);
        store.put("servers", "w1", first.entry("ready"));
        until_used(&instance, &first);
        until_used(&instance, &second);
    });
}

/// Guards against instances that take the store for lost, or that stop following the configuration,
/// while it cannot be read.
#[test]
fn an_unreadable_configuration_leaves_the_earlier_one_in_force() {
    for_each_case(&unreadable_items("main"), |item| {
        let (store, _workers) = platform(2, PAUSE);
        let instances = start_two(&store);
        store.put_raw("config", "main", item);
        let calls = store.calls("GET");
        thread::sleep(Duration::from_secs(3));
        assert!(store.calls("GET") - calls <= 12);
        instances.iter().for_each(assert_serves);
        let mut second = config(2);
        second["routes"][0]["path_prefix"] = "/second/".into();
        store.put("config", "main", second);
        for instance in &instances {
            until("the new configuration is in force", || {
                let answer = instance.stream("/second/x", &format!("n{}", fastrand::u64(..)));
                answer.is_some_and(|a| a.status == 200)
            });
            // A change without a readable name, and the object that is read by its name.
            assert_reported_once(&instance.log, 2);
        }
    });
}

/// Guards against calls without end or pause while a list does not advance, and requires that it is
/// read as soon as it does.
#[test]
fn a_list_that_does_not_advance_ends_with_a_pause() {
    let repeat = |store: &Store| store.repeat_pages(Some("servers"));
    let fill = |store: &Store| {
        for n in 0..PAGE {
            store.put_raw("servers", &format!("a{n}"), b"{}");
        }
    };
    let clear = |store: &Store| {
        store.repeat_pages(None);
        for n in 0..PAGE {
            store.remove("servers", &format!("a{n}"));
        }
    };
    for_each_case::<&(dyn Fn(&Store) + Sync)>(&[&repeat, &fill], |stop| {
        let store = Store::start();
        store.set_page(PAGE);
        store.put("config", "main", config(1));
        for n in 0..2 * PAGE {
            store.put("servers", &format!("b{n:02}"), json!({ "odd": true }));
        }
        add_worker(&store, "c");
        stop(&store);
        let instance = Instance::spawn("one", &store, &[]);
        until("the list is read", || store.lists("servers") > 1);
        let lists = store.lists("servers");
        let started = Instant::now();
        thread::sleep(Duration::from_secs(3));
        // A try reads two pages at most. The pauses are random, of up to 150 ms at first and 900 ms later.
        let tries = started.elapsed().as_millis() as usize / 150;
        assert!(store.lists("servers") - lists <= 2 * tries);
        let text = std::fs::read_to_string(&instance.log).unwrap();
        assert!(text.contains("the list does not advance"), "{text}");
        clear(&store);
        until("requests are served", || {
            let answer = instance.stream("/resumable/x", &format!("r{}", fastrand::u64(..)));
            answer.is_some_and(|a| a.status == 200)
        });
    });
}

/// Guards against a list that ends at a name that the store refuses in a query.
#[test]
fn a_list_goes_on_from_an_earlier_name_if_the_store_refuses_one() {
    let store = Store::start();
    store.set_page(PAGE);
    store.put("config", "main", config(1));
    for n in 0..PAGE {
        let name = format!("a{n}");
        store.put("servers", &name, json!({ "odd": true }));
        if n > PAGE / 2 {
            store.refuse_name(&name);
        }
    }
    add_worker(&store, "b");
    assert_serves(&Instance::start("one", &store, &[]));
}

/// Guards against requests to empty a machine that are not confirmed because of another one.
#[test]
fn requests_to_empty_machines_are_confirmed_beside_odd_ones() {
    let store = Store::start();
    let mut machines = odd_names();
    machines.retain(|name| ![".", ".."].contains(&name.as_str()));
    let put = |names: &[String]| {
        for name in names {
            store.put("retirements", name, json!({ "duration_s": 10 }));
        }
    };
    let until_confirmed = |names: &[String]| {
        until("the machines are confirmed", || {
            names.iter().all(|name| {
                let object = store.get("retirements", name).unwrap();
                object["status"]["state"] == "done"
            })
        });
    };
    store.put("retirements", ".", json!({ "duration_s": 10 }));
    store.put("retirements", "..", json!({ "duration_s": 10 }));
    for (n, item) in unreadable_items("u").iter().enumerate() {
        store.put_raw("retirements", &format!("u{n}"), item);
    }
    store.put("retirements", "refused", json!({ "duration_s": 10 }));
    store.refuse_name("refused");
    put(&machines[..machines.len() / 2]);
    let keeper = keeper("disk-1", &store);
    until_confirmed(&machines[..machines.len() / 2]);
    put(&machines[machines.len() / 2..]);
    for (n, item) in unreadable_items("v").iter().enumerate() {
        store.put_raw("retirements", &format!("v{n}"), item);
    }
    let names = ["disk-1".to_owned(), "z".to_owned()];
    put(&names);
    until_confirmed(&machines);
    until_confirmed(&names);
    let (reads, writes) = (store.calls("GET"), store.calls("PUT"));
    thread::sleep(Duration::from_secs(3));
    // One more probe of the connections comes every 1.25 s.
    assert!(store.calls("GET") - reads <= 4);
    assert_eq!(store.calls("PUT"), writes);
    assert_reported_once(&keeper.log, 2 * unreadable_items("u").len() + 3);
}

/// Returns the ids of the requests that a worker ran, in their order.
fn ran(worker: &Worker) -> Vec<String> {
    let runs = worker.runs().into_iter();
    runs.filter_map(|r| Some(r.header("x-request-id")?.to_owned()))
        .collect()
}

/// Guards against a job that is read under the name of another one after all instances have ended, so
/// that items run twice or never.
#[test]
fn jobs_with_odd_ids_are_taken_up_as_themselves() {
    let (store, workers) = platform(40, Duration::from_millis(40));
    let jobs = [
        "j",
        "j?x",
        "j#1",
        "j x",
        "j%41",
        "j+x",
        "j%2Bx",
        "j/x",
        "j&after=j",
        "j\"x",
        "j%",
        "...",
        "j/../j",
    ];
    let items = |n: usize| [format!("a{n}"), format!("b{n}")];
    let mut first = Instance::start_for_jobs("one", &store);
    for (n, job) in jobs.iter().enumerate() {
        let [a, b] = items(n);
        assert_eq!(first.submit(job, &[&a, &b]).unwrap().status, 202, "{job}");
    }
    first.kill();
    // Requests that were on their way have arrived.
    thread::sleep(Duration::from_millis(300));
    let before = workers.each_ref().map(|w| ran(w).len());
    let second = Instance::start_for_jobs("two", &store);
    until("all jobs have results", || {
        store.names("batch-pages").len() >= jobs.len()
    });
    for (n, job) in jobs.iter().enumerate() {
        let results = second.wait_results(job, 2);
        let mut found: Vec<&str> = results.iter().filter_map(|r| r["id"].as_str()).collect();
        found.sort_unstable();
        assert_eq!(found, items(n), "{job}");
        assert!(results.iter().all(|r| r["state"] == "done"), "{job}");
    }
    let later = workers.iter().zip(before);
    let mut runs: Vec<String> = later.flat_map(|(w, n)| ran(w).split_off(n)).collect();
    let count = runs.len();
    runs.sort_unstable();
    runs.dedup();
    assert_eq!(runs.len(), count, "an item ran twice");
    let mut names = store.names("batch-jobs");
    names.sort_unstable();
    let mut expected = jobs.map(str::to_owned);
    expected.sort_unstable();
    assert_eq!(names, expected);
}

/// Guards against the removal of an expired job that removes another one or its results.
#[test]
fn the_removal_of_an_expired_job_leaves_the_others() {
    let (store, _workers) = platform(2, PAUSE);
    let record = |submitted: u64| json!({ "host": HOST, "path": "/jobs/x", "submitted": submitted, "config": 1, "items": [] });
    let expired = ["j#1", "j?x", "j%31", "j/../j", "j x"];
    let kept = ["j", "j1"];
    for job in kept {
        store.put("batch-jobs", job, record(clock::unix_millis()));
        store.put("batch-pages", &format!("{job}.0"), json!([]));
    }
    for job in expired {
        store.put("batch-jobs", job, record(1));
        store.set_status("batch-jobs", job, json!({ "ended": true }));
    }
    let _instance = Instance::start_for_jobs("one", &store);
    until("the expired jobs are gone", || {
        let names = store.names("batch-jobs");
        expired.iter().all(|job| !names.iter().any(|n| n == job))
    });
    assert_eq!(store.names("batch-jobs"), kept);
    assert_eq!(store.names("batch-pages"), ["j.0", "j1.0"]);
}

/// Guards against jobs that other jobs hide that cannot be read or whose names cannot stand in a path.
#[test]
fn jobs_are_found_beside_unreadable_ones() {
    let (store, _workers) = platform(2, PAUSE);
    store.set_page(PAGE);
    let items = json!([{ "id": "i", "path": "/jobs/i", "headers": [], "body": "", "tokens": 1 }]);
    let record = |items: &Value| {
        json!({ "host": HOST, "path": "/jobs/x", "submitted": clock::unix_millis(), "config": 1,
                "items": items })
    };
    for (n, item) in unreadable_items("a").iter().enumerate() {
        for kind in [
            "batch-jobs",
            "blocked-requests",
            "stream-versions",
            "entry-instances",
        ] {
            store.put_raw(kind, &format!("a{n:02}-raw"), item);
            store.put(kind, &format!("a{n:02}-odd"), Value::Null);
        }
    }
    store.put("batch-jobs", ".", record(&items));
    store.put("batch-jobs", "..", record(&items));
    store.put("batch-jobs", "b", record(&items));
    let instance = Instance::start_for_jobs("one", &store);
    until("the job has results", || {
        store.names("batch-pages") == ["b.0"]
    });
    let calls = store.calls("GET");
    thread::sleep(Duration::from_secs(3));
    // A list of instances, two of workers' versions and probes of the connections.
    assert!(
        store.calls("GET") - calls <= 30,
        "{}",
        store.calls("GET") - calls
    );
    assert_eq!(store.names("batch-pages"), ["b.0"]);
    // Two entries of each of four kinds, and the two names.
    assert_reported_once(&instance.log, 4 * 2 * unreadable_items("a").len() + 2);
}

/// Guards against ids of jobs and items that are read as they stand in a path or query of a caller, so
/// that another job or none is found.
#[test]
fn ids_in_paths_and_queries_of_callers_are_decoded() {
    let (store, _workers) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    let get = |path: &str| http::call(instance.callers, "GET", path, &[], "").unwrap();
    let id = |n: usize| format!("i{n}");
    for (n, job) in ["j+x", "j x", "j/x", "j%41", "j"].iter().enumerate() {
        assert_eq!(instance.submit(job, &[&id(n)]).unwrap().status, 202);
        instance.wait_results(job, 1);
    }
    for (path, n) in [
        ("/lots/j+x", 0),
        ("/lots/j%2Bx", 0),
        ("/lots/j%2bx?after=0", 0),
        ("/lots/j%20x", 1),
        ("/lots/j%2Fx", 2),
        ("/lots/j/x", 2),
        ("/lots/j%2541", 3),
        ("/lots/j?x", 4),
        ("/lots/%6A", 4),
    ] {
        let answer = get(path);
        assert_eq!(answer.status, 200, "{path}");
        assert_eq!(answer.json()["results"][0]["id"], id(n), "{path}");
    }
    assert_eq!(get("/lots/j%2520x").status, 404);
    assert_eq!(get("/lots/%FF").status, 404);
    assert_eq!(get("/lots/").status, 404);
    let odd = ["a b", "a+b", "a&b"];
    assert_eq!(instance.submit("k+1", &odd).unwrap().status, 202);
    for query in ["a+b", "a%20b", "a%2Bb", "a%26b"] {
        let answer = get(&format!("/items/k%2B1?id={query}"));
        assert_eq!(answer.status, 200, "{query}");
    }
    assert_eq!(get("/items/k+1?id=a&b").status, 404);
    let end = |path: &str| http::call(instance.callers, "DELETE", path, &[], "").unwrap();
    assert_eq!(end("/lots/j%2Bx").status, 200);
    assert_eq!(
        store.get("batch-jobs", "j+x").unwrap()["status"]["ended"],
        true
    );
    assert_eq!(store.names("batch-jobs").len(), 6);
}

/// Guards against jobs that are accepted under an id that no path can hold, so that no instance finds
/// them again.
#[test]
fn jobs_whose_ids_cannot_be_sent_are_refused() {
    let (store, _workers) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    let long = "%".repeat(4000);
    for job in [".", "..", "", &long] {
        assert_eq!(instance.submit(job, &["i"]).unwrap().status, 400, "{job}");
    }
    assert!(store.names("batch-jobs").is_empty());
    for path in ["/lots/.", "/lots/%2E%2E", "/lots/", "/items/..?id=i"] {
        let answer = http::call(instance.callers, "GET", path, &[], "").unwrap();
        assert_eq!(answer.status, 404, "{path}");
    }
}

/// Guards against histories of versions that are stored under another name, or that hold up those of
/// other services.
#[test]
fn versions_of_services_with_odd_names_are_stored_under_their_names() {
    let store = Store::start();
    let mut names = odd_names();
    names.retain(|n| ![".", ".."].contains(&n.as_str()));
    let service = |name: &str| json!({ "name": name, "max_conns": 100 });
    let mut config = config(1);
    let all = names.iter().map(String::as_str);
    let services: Vec<Value> = all.chain([".", "..", "lm"]).map(service).collect();
    config["services"] = services.into();
    store.put("config", "main", config);
    for (n, name) in names
        .iter()
        .map(String::as_str)
        .chain([".", ".."])
        .enumerate()
    {
        let worker = Worker::start(&format!("w{n}"), 2, PAUSE);
        let mut entry = worker.entry("ready");
        entry["service"] = name.into();
        store.put("servers", &worker.id, entry);
    }
    add_worker(&store, "w");
    let instance = Instance::start("one", &store, &[]);
    names.push("lm".to_owned());
    names.sort_unstable();
    until("the versions are stored", || {
        store.names("stream-versions").len() >= names.len()
    });
    thread::sleep(Duration::from_secs(1));
    assert_eq!(store.names("stream-versions"), names);
    let (reads, writes) = (store.calls("GET"), store.calls("POST") + store.calls("PUT"));
    thread::sleep(Duration::from_secs(3));
    assert!(store.calls("GET") - reads <= 12);
    assert_eq!(store.calls("POST") + store.calls("PUT"), writes);
    assert_reported_once(&instance.log, 2);
}

/// Guards against an instance whose entry is not renewed after a restart.
#[test]
fn instances_with_odd_names_register_again() {
    let (store, _workers) = platform(2, PAUSE);
    let names: Vec<String> = ["one#1", "one?x", "one x", "one%41", "one/x"]
        .map(str::to_owned)
        .into();
    for_each_case(&names, |name| {
        let mut instance = Instance::start(name, &store, &[]);
        until("the instance is registered", || {
            store.get("entry-instances", name).is_some()
        });
        instance.kill();
        let first = store.get("entry-instances", name).unwrap()["spec"].clone();
        let _second = Instance::start(name, &store, &[]);
        until("the entry is renewed", || {
            store.get("entry-instances", name).unwrap()["spec"] != first
        });
    });
    let mut names = names;
    names.sort_unstable();
    assert_eq!(store.names("entry-instances"), names);
}

/// Guards against an instance that cannot register again under its name, and tries to without end.
#[test]
fn an_instance_whose_name_no_path_can_hold_does_not_start() {
    let (store, _workers) = platform(2, PAUSE);
    for name in ["", ".", ".."] {
        let mut instance = Instance::spawn(name, &store, &[]);
        until("the process ends", || !instance.is_running());
    }
    assert!(store.names("entry-instances").is_empty());
}

/// Guards against a history of versions that is never stored, as another writer left an object there that
/// cannot be read.
#[test]
fn an_unreadable_history_is_written_over() {
    let items = unreadable_items("lm");
    let objects: Vec<Vec<u8>> = items.into_iter().filter(|i| i[0] == b'{').collect();
    for_each_case(&objects, |item| {
        let store = Store::start();
        store.put("config", "main", config(1));
        store.put_raw("stream-versions", "lm", item);
        let _worker = add_worker(&store, "w1");
        let _instance = Instance::start("one", &store, &[]);
        until("the history is stored", || {
            let object = store.get("stream-versions", "lm").unwrap();
            object["spec"]["number"].as_u64().is_some()
        });
        let writes = store.calls("PUT");
        thread::sleep(Duration::from_secs(2));
        assert!(store.calls("PUT") - writes <= 2);
    });
}
