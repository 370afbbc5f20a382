// Keys of the records that the controllers keep in the key-value store.
//
//   key                     record                                       value (store_codec.h)
//   rk/j/JOB                a job                                        job
//   rk/t/JOB/SHARD          the task states of one shard of a job        shard
//   rk/l/PARTITION          the owner of a partition                     lease
//   rk/m/PARTITION/PAGE     a page of a partition's machine list         machines
//   rk/n/CONTROLLER         a controller's liveness, for the others      liveness record
//   rk/v/CONTROLLER         the version of a controller                  version record
//   rk/q/TEAM               a team's quota, divided among partitions     quota division
//   rk/c/TYPE               a machine type of the cloud's catalog        machine type
//   rk/lead                 the leader; deleted with its store lease     leadership
//   rk/term                 the number of the latest term                term
//   rk/upgrade              the minimum version of all controllers       upgrade record
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// The prefix of all keys, so that a single watch covers them.
inline const std::string kKeyPrefix = "rk/";
inline const std::string kLeaderKey = "rk/lead";
inline const std::string kTermKey = "rk/term";
inline const std::string kUpgradeKey = "rk/upgrade";

// Each returns the key of the record named above.
std::string job_key(const std::string& id);
std::string shard_key(const std::string& id, uint32_t shard);
std::string lease_key(int partition);
std::string machines_key(int partition, int page);
std::string liveness_key(const std::string& label);
std::string version_key(const std::string& label);
std::string quota_key(const std::string& team);
std::string type_key(const std::string& name);

// The kind of record that a key refers to.
enum class KeyKind {
  kJob,
  kShard,
  kLease,
  kMachines,
  kLiveness,
  kVersion,
  kQuota,
  kMachineType,
  kLeader,
  kTerm,
  kUpgrade
};

// A parsed key. Only the fields that apply to its kind are set.
struct StoreKey {
  KeyKind kind = KeyKind::kLeader;
  std::string name;    // of the job, controller, team or machine type; job id for kShard
  uint32_t shard = 0;  // kShard
  int partition = 0;   // kLease, kMachines; not negative
  int page = 0;        // kMachines; not negative
};

// Parses a key; fails if it is not one of the above.
Decoded<StoreKey> parse_store_key(const std::string& key);

}  // namespace rooksill::wire
