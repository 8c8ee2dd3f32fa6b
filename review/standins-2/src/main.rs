//! The scripts of the review. `review-standins-2 case N` plays a case: it starts the gateways as processes with the
//! command and the template of the deploy file, and workers as further processes of this program (`worker ...`). The
//! store is the project's stand-in. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod client;
mod record;
mod site;
mod worker;

#[actix_rt::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words[..] {
        ["worker", id, kind] => worker::run(id, kind),
        ["guard", settings] => site::guard(settings),
        ["case", number, folder] => cases::run(number, folder).await,
        _ => 2,
    };
    std::process::exit(code);
}
