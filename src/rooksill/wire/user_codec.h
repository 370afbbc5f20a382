// Messages between controllers and users.
//
//   submission:  id, flock -> job class, owner -> team, shape, rank -> priority, pieces -> tasks,
//                cores -> CPUs, gpus, memory_gb, bundle -> image, size_gb -> image GB,
//                builds -> types (optional), ward -> zone (optional), together -> one zone,
//                spread, loaners -> spot, guess_s -> estimate s, snapshot_s -> checkpoint s,
//                flush_s -> save s, due_s -> deadline s (optional)
//   shape:       batch -> kArray, service -> kService, ensemble -> kGang
//   rank:        prod -> kProd, urgent -> kUrgent, standard -> kStandard, idle -> kIdle
//   status:      id, status (queued, running, done; withdrawn -> cancelled), done and running ->
//                how many tasks are done and placed
//   error:       error -> the reason
#pragma once

#include <string>

#include "rooksill/model/job.h"
#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// A submission. Users are answered with DecodeError::message() when it is invalid.
Decoded<model::JobSpec> parse_job(const std::string& body);

std::string encode_status(const model::Job& job);
// The answer to a submission that was stored just now.
std::string encode_accepted(const std::string& id);
std::string encode_error(const std::string& text);

}  // namespace rooksill::wire
