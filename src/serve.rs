//! Starts an entry instance and runs it until a planned stop.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use async_global_executor::GlobalExecutorConfig;
use async_signal::{Signal, Signals};
use futures::StreamExt;
use smol::channel::{Receiver, Sender};
use trillium::Handler;
use trillium_http::HttpConfig;
use trillium_server_common::ServerHandle;

use crate::{
    admin, batch, batch_http,
    caller::CallerBounds,
    clock,
    context::{Command, Context},
    control,
    drain::Phase,
    event,
    exit::Exit,
    http, refusal,
    settings::Settings,
};

/// Interval at which a planned stop checks the requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// HTTP servers of an entry instance.
struct Servers {
    callers: ServerHandle,
    operators: ServerHandle,
}

/// Runs an entry instance until a planned stop has ended.
///
/// # Errors
///
/// Returns a one-line error when an address cannot be bound or the control thread fails.
pub fn serve(settings: Settings) -> anyhow::Result<Exit> {
    start_traffic_threads(settings.threads);
    let (ctx, commands) = Context::new(settings, new_session());
    let control_ended = start_control_thread(ctx.clone(), commands)?;
    let servers = start_servers(&ctx)?;
    event!(
        Info,
        InstanceReady,
        "instance={} zone={} callers={} operators={}",
        ctx.settings.instance,
        ctx.settings.zone,
        ctx.settings.callers,
        ctx.settings.operators
    );
    smol::block_on(run_until_stopped(&ctx, servers, control_ended))
}

fn start_traffic_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "traffic".to_owned());
    async_global_executor::init_with_config(config);
}

/// Returns a session id that is higher than those of earlier runs, unless the clock was set back.
pub fn new_session() -> u64 {
    clock::session_at(clock::unix_millis())
}

/// Starts the control thread. The returned channel receives its result when it ends.
fn start_control_thread(
    ctx: Arc<Context>,
    commands: Receiver<Command>,
) -> anyhow::Result<Receiver<anyhow::Result<()>>> {
    let (ended, result) = smol::channel::bounded(1);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control(ctx, commands, &ended))
        .context("cannot start the control thread")?;
    Ok(result)
}

fn run_control(ctx: Arc<Context>, commands: Receiver<Command>, ended: &Sender<anyhow::Result<()>>) {
    let executor = smol::LocalExecutor::new();
    let batch_task = executor.spawn(run_batch(ctx.clone()));
    let result = smol::block_on(executor.run(control::run(ctx, commands)));
    drop(batch_task);
    let _ = ended.try_send(result);
}

async fn run_batch(ctx: Arc<Context>) {
    batch::run(ctx.clone()).await;
    ctx.drain.set_batch_released();
}

fn start_servers(ctx: &Arc<Context>) -> anyhow::Result<Servers> {
    let limits = &ctx.settings.limits;
    let http = HttpConfig::DEFAULT
        .with_head_max_len(limits.header)
        .with_received_body_max_len(limits.batch.max(limits.body) as u64);
    let callers = (
        http::handler(ctx.clone()),
        batch_http::handler(ctx.clone()),
        refusal::unmatched,
    );
    let operators = (admin::handler(ctx.clone()), refusal::unmatched);
    Ok(Servers {
        callers: start_server(ctx, ctx.settings.callers, http, callers)?,
        operators: start_server(ctx, ctx.settings.operators, http, operators)?,
    })
}

fn start_server(
    ctx: &Context,
    address: SocketAddr,
    http: HttpConfig,
    handler: impl Handler,
) -> anyhow::Result<ServerHandle> {
    let listener = std::net::TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}; is the address in use?"))?;
    let listener = smol::net::TcpListener::try_from(listener)?;
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(http)
        .with_max_connections(Some(ctx.settings.limits.connections))
        .with_acceptor(CallerBounds::new(&ctx.settings))
        .with_prebound_server(listener)
        .spawn(handler);
    Ok(handle)
}

async fn run_until_stopped(
    ctx: &Context,
    servers: Servers,
    control_ended: Receiver<anyhow::Result<()>>,
) -> anyhow::Result<Exit> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let stop = async {
        signals.next().await;
        Ok(())
    };
    let failure = async {
        let result = control_ended.recv().await;
        result.context("the control thread ended")?
    };
    smol::future::or(stop, failure).await?;
    event!(
        Info,
        StopBegan,
        "active={} deadline_ms={}",
        ctx.drain.active(),
        ctx.settings.timeouts.drain.as_millis()
    );
    let drained = smol::future::or(drain(ctx), async {
        signals.next().await;
        false
    })
    .await;
    servers.callers.swansong().shut_down();
    servers.operators.swansong().shut_down();
    Ok(report_end(ctx, drained))
}

/// Waits for the requests in flight and returns whether all of them ended before the deadline.
async fn drain(ctx: &Context) -> bool {
    let timeouts = &ctx.settings.timeouts;
    let deadline = Instant::now() + timeouts.drain;
    ctx.drain.advance(Phase::Leaving);
    async_io::Timer::after(timeouts.leave_notice).await;
    ctx.drain.advance(Phase::Draining);
    while !is_idle(ctx) {
        if Instant::now() >= deadline {
            return false;
        }
        async_io::Timer::after(DRAIN_POLL).await;
    }
    true
}

fn is_idle(ctx: &Context) -> bool {
    ctx.drain.active() == 0 && ctx.drain.batch_released()
}

fn report_end(ctx: &Context, drained: bool) -> Exit {
    let active = ctx.drain.active();
    if drained {
        event!(Info, StopEnded, "cut_off=0");
        return Exit::Success;
    }
    event!(Warn, StopEnded, "cut_off={active}");
    eprintln!("gentianpath: stopped before its work was finished; {active} requests were cut off");
    Exit::CutOff
}
