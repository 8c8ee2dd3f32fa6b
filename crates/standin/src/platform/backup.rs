//! Backup and restore of the key space. `POST /standin/backup` saves a copy and `POST /standin/restore`
//! restores it: later writes are lost, and their revision numbers are assigned again.

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
