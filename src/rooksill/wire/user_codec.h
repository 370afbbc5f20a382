// Messages between controllers and users, in JSON. The field names of the user protocol and the
// terms used for them in this code:
//
//   submission:  id, flock -> job class, owner -> team, shape, rank -> priority, pieces -> tasks,
//                cores -> CPUs, gpus, memory_gb, bundle -> image, size_gb -> image GB,
//                builds -> types (optional), ward -> zone (optional), together -> one zone,
//                spread, loaners -> spot, guess_s -> estimate s, snapshot_s -> checkpoint s,
//                flush_s -> save s, due_s -> deadline s (optional)
//   shape:       batch -> kArray, service -> kService, ensemble -> kGang
//   rank:        prod -> kProd, urgent -> kUrgent, standard -> kStandard, idle -> kIdle
//   status:      id, status (queued, running, done; withdrawn -> cancelled), done and running ->
//                number of tasks done and placed
//   error:       error -> the reason
#pragma once

#include <string>

#include "rooksill/model/job.h"
#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// Decodes a job submission. If it is invalid, the user receives DecodeError::message().
Decoded<model::JobSpec> parse_job(const std::string& body);

// Returns the response to a status request.
std::string encode_status(const model::Job& job);
// Returns the response to a submission that has been stored.
std::string encode_accepted(const std::string& id);
// Returns an error response; invalid UTF-8 in `text` is replaced.
std::string encode_error(const std::string& text);

}  // namespace rooksill::wire
