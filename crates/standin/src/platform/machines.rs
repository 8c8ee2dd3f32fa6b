//! The list of machines. Changes become visible after a delay, as on the real platform.

use actix_web::{web, HttpResponse};
use tansyhall_store::machines::{Machine, MACHINES_PATH};

use super::Platform;

/// Delay until a change becomes visible, in milliseconds.
const VISIBILITY_DELAY_MILLIS: u64 = 500;

/// The visible list and the changes that are not visible yet.
#[derive(Debug, Default)]
pub struct Machines {
    visible: Vec<Machine>,
    pending: Vec<(u64, Vec<Machine>)>,
}

impl Machines {
    fn replace(&mut self, now_millis: u64, machines: Vec<Machine>) {
        self.pending
            .push((now_millis + VISIBILITY_DELAY_MILLIS, machines));
    }

    fn visible(&mut self, now_millis: u64) -> &[Machine] {
        while self
            .pending
            .first()
            .is_some_and(|(visible_at, _)| *visible_at <= now_millis)
        {
            self.visible = self.pending.remove(0).1;
        }
        &self.visible
    }
}

pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route(MACHINES_PATH, web::get().to(list))
        .route("/standin/machines", web::put().to(replace));
}

async fn list(platform: web::Data<Platform>) -> HttpResponse {
    let now = platform.now_millis();
    HttpResponse::Ok().json(platform.machines.lock().visible(now))
}

async fn replace(platform: web::Data<Platform>, machines: web::Json<Vec<Machine>>) -> HttpResponse {
    let now = platform.now_millis();
    platform.machines.lock().replace(now, machines.into_inner());
    HttpResponse::NoContent().finish()
}
