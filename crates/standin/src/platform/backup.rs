//! A copy of the key space, and the return to it: what was written since is gone, and revisions are given
//! out again. `POST /standin/backup` takes the copy, `POST /standin/restore` returns to it.

use actix_web::{web, HttpResponse};

use super::Platform;

pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/standin/backup", web::post().to(back_up))
        .route("/standin/restore", web::post().to(restore));
}

async fn back_up(platform: web::Data<Platform>) -> HttpResponse {
    let copy = platform.keyspace.lock().clone();
    *platform.backup.lock() = Some(copy);
    HttpResponse::NoContent().finish()
}

async fn restore(platform: web::Data<Platform>) -> HttpResponse {
    let Some(copy) = platform.backup.lock().clone() else {
        return HttpResponse::Conflict().body("no copy was taken");
    };
    platform.with_keyspace(|keyspace| *keyspace = copy);
    HttpResponse::NoContent().finish()
}
