// Values of the service's own records in the key-value store, which every controller reads and
// writes. Their keys are in store_keys.h. Names are short, since the size of a value is limited.
//
//   record            wire word -> term of the code
//   job               s spec, t submitted, e end (0 open, 1 cancelled, 2 done), k tasks per shard;
//                     of a job that is done only e and n (tasks)
//   spec              id id, cl job class, tm team, sh shape (0 array, 1 service, 2 gang),
//                     pr priority (0 idle ... 3 prod), n tasks, c CPUs, g GPUs, m memory GB,
//                     im image, ig image GB, ty types, z zone, oz one zone, sp spread, st spot,
//                     e estimate s, ck checkpoint s, sv save s, d deadline s or null
//   shard             m names of machines, p place of each task (a number in m from 1 on; 0 none,
//                     -1 done), a attempt of each task
//   lease             h owner, i incarnation, t fencing token
//   machines          g groups of [type, zone, spot 0|1, [[name, rented]...]]
//   liveness record   i incarnation, u suspects itself, f meant for, q silent machines,
//                     d unreachable zones
//   version record    v version, i incarnation
//   upgrade record    v version
//   quota division    c CPUs and g GPUs, by partition
//   machine type      n name, c CPUs, g GPUs, m memory GB, k cache GB, f fetch GB/s, p price,
//                     s spot price, b boot s, z zones
//   leadership        h label, i incarnation, t term
//   term              t term
//
// Decoders leave `revision` as it is: a value does not hold its own revision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/wire/decoded.h"
#include "rooksill/wire/names.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::wire {

nlohmann::json encode_spec(const model::JobSpec& spec);
Decoded<model::JobSpec> decode_spec(const nlohmann::json& value);

// Of a job that is done only what its answers need is kept.
nlohmann::json encode_job(const model::Job& job);
Decoded<model::Job> decode_job(const nlohmann::json& value);

nlohmann::json encode_shard(const std::vector<model::TaskState>& tasks);
// `count`: how many tasks the shard has.
Decoded<std::vector<model::TaskState>> decode_shard(const nlohmann::json& value, size_t count);

nlohmann::json encode_lease(const model::PartitionLease& lease);
Decoded<model::PartitionLease> decode_lease(const nlohmann::json& value);

// Machines by name.
nlohmann::json encode_machines(const std::map<std::string, model::Machine>& machines);
Decoded<std::map<std::string, model::Machine>> decode_machines(const nlohmann::json& value);

nlohmann::json encode_liveness(const model::LivenessRecord& record);
Decoded<model::LivenessRecord> decode_liveness(const nlohmann::json& value);

nlohmann::json encode_quota_division(const std::vector<model::QuotaShare>& shares);
Decoded<std::vector<model::QuotaShare>> decode_quota_division(const nlohmann::json& value,
                                                              size_t partitions);

nlohmann::json encode_version(const model::VersionRecord& record);
Decoded<model::VersionRecord> decode_version(const nlohmann::json& value);

nlohmann::json encode_upgrade(const model::UpgradeRecord& record);
Decoded<model::UpgradeRecord> decode_upgrade(const nlohmann::json& value);

nlohmann::json encode_type(const model::MachineType& type);
Decoded<model::MachineType> decode_type(const nlohmann::json& value);

nlohmann::json encode_leadership(const model::Leadership& leadership);
Decoded<model::Leadership> decode_leadership(const nlohmann::json& value);

nlohmann::json encode_term(uint64_t term);
Decoded<uint64_t> decode_term(const nlohmann::json& value);

}  // namespace rooksill::wire
