//! Books an outing at most once and prints the outcome of the call.
//!
//! `cargo run -p client --example book -- 127.0.0.1:8080 club-7-outing-12`

use std::net::SocketAddr;
use std::process::ExitCode;

use client::{Call, Client, ClientConfig, Reply};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let entry = args.next().and_then(|text| text.parse::<SocketAddr>().ok());
    let (Some(entry), Some(key)) = (entry, args.next()) else {
        eprintln!("usage: book IP:PORT KEY");
        return ExitCode::from(2);
    };
    let client = Client::new([entry], ClientConfig::default());
    let booking = Call::new("reservas", "book")
        .once(key)
        .body(r#"{"outing":12,"tandems":2}"#);
    match client.call(&booking).await {
        Ok(Reply::Answered { status, body, .. }) => {
            println!("answered {status}: {}", String::from_utf8_lossy(&body));
            ExitCode::SUCCESS
        }
        Ok(Reply::NotRun { refusal }) => {
            let wait = refusal.retry_after;
            println!("not run: {}; retry in {wait:?}", refusal.reason);
            ExitCode::from(3)
        }
        Ok(Reply::Unknown) => {
            println!("unknown; call again with the same key to query the outcome");
            ExitCode::from(4)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
