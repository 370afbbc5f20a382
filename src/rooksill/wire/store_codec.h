// Encoding of the records that the controllers keep in the key-value store. Their keys are defined
// in store_keys.h. Field names are short because the store limits the size of a value.
//
//   record            stored fields and their meaning
//   job               s spec, t submitted, e end (0 open, 1 cancelled, 2 done), k tasks per shard;
//                     a job that is done has only e and n (tasks)
//   spec              id id, cl job class, tm team, sh shape (0 array, 1 service, 2 gang),
//                     pr priority (0 idle ... 3 prod), n tasks, c CPUs, g GPUs, m memory GB,
//                     im image, ig image GB, ty types, z zone, oz one zone, sp spread, st spot,
//                     e estimate s, ck checkpoint s, sv save s, d deadline s or null
//   shard             m machine names, p place of each task (1-based index into m; 0 none,
//                     -1 done), a attempt of each task
//   lease             h owner, i incarnation, t fencing token
//   machines          g groups of [type, zone, spot 0|1, [[name, rented]...]]
//   liveness record   i incarnation, u suspects itself, f intended recipients (controllers),
//                     q unreachable machines, d unreachable zones
//   version record    v version, i incarnation
//   upgrade record    v version
//   quota division    c CPUs and g GPUs, by partition
//   machine type      n name, c CPUs, g GPUs, m memory GB, k cache GB, f fetch GB/s, p price,
//                     s spot price, b boot s, z zones
//   leadership        h label, i incarnation, t term
//   term              t term
//
// Decoders do not set the `revision` of a record, because a value does not contain it.
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

// Encode and decode a job specification.
nlohmann::json encode_spec(const model::JobSpec& spec);
Decoded<model::JobSpec> decode_spec(const nlohmann::json& value);

// Encode and decode a job. For a job that is done, only the fields needed to answer status requests
// are stored.
nlohmann::json encode_job(const model::Job& job);
Decoded<model::Job> decode_job(const nlohmann::json& value);

// Encodes the task states of a shard.
nlohmann::json encode_shard(const std::vector<model::TaskState>& tasks);
// Decodes the task states of a shard. Fails unless there are exactly `count` tasks.
Decoded<std::vector<model::TaskState>> decode_shard(const nlohmann::json& value, size_t count);

// Encode and decode the lease of a partition.
nlohmann::json encode_lease(const model::PartitionLease& lease);
Decoded<model::PartitionLease> decode_lease(const nlohmann::json& value);

// Encode and decode a page of a partition's machines, by machine name.
nlohmann::json encode_machines(const std::map<std::string, model::Machine>& machines);
Decoded<std::map<std::string, model::Machine>> decode_machines(const nlohmann::json& value);

// Encode and decode a controller's liveness record.
nlohmann::json encode_liveness(const model::LivenessRecord& record);
Decoded<model::LivenessRecord> decode_liveness(const nlohmann::json& value);

// Encodes the shares of a team's quota, by partition.
nlohmann::json encode_quota_division(const std::vector<model::QuotaShare>& shares);
// Decodes the shares of a team's quota. Fails unless there is one for each of `partitions`.
Decoded<std::vector<model::QuotaShare>> decode_quota_division(const nlohmann::json& value,
                                                              size_t partitions);

// Encode and decode the version of a controller.
nlohmann::json encode_version(const model::VersionRecord& record);
Decoded<model::VersionRecord> decode_version(const nlohmann::json& value);

// Encode and decode the upgrade record.
nlohmann::json encode_upgrade(const model::UpgradeRecord& record);
Decoded<model::UpgradeRecord> decode_upgrade(const nlohmann::json& value);

// Encode and decode a machine type.
nlohmann::json encode_type(const model::MachineType& type);
Decoded<model::MachineType> decode_type(const nlohmann::json& value);

// Encode and decode the leadership record. Absent fields decode as "no leader".
nlohmann::json encode_leadership(const model::Leadership& leadership);
Decoded<model::Leadership> decode_leadership(const nlohmann::json& value);

// Encode and decode the number of the latest term; 0 if the field is absent.
nlohmann::json encode_term(uint64_t term);
Decoded<uint64_t> decode_term(const nlohmann::json& value);

}  // namespace rooksill::wire
