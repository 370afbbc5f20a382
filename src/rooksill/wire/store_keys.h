// Keys of the service's own records in the key-value store.
//
//   key                     record                                       value (store_codec.h)
//   rk/j/JOB                a job                                        job
//   rk/t/JOB/SHARD          the states of a run of its tasks             shard
//   rk/l/PARTITION          who owns a partition                         lease
//   rk/m/PARTITION/PAGE     a page of a partition's list of machines     machines
//   rk/n/CONTROLLER         what a controller leaves for the others      liveness record
//   rk/v/CONTROLLER         the version of a controller                  version record
//   rk/q/TEAM               how a team's quota is divided                quota division
//   rk/c/TYPE               a machine type of the catalogue              machine type
//   rk/lead                 who leads; vanishes with the leader's lease  leadership
//   rk/term                 the number of the last term                  term
//   rk/upgrade              the version that every controller has        upgrade record
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// All keys begin with this, so that one watch shows all of them.
inline const std::string kKeyPrefix = "rk/";
inline const std::string kLeaderKey = "rk/lead";
inline const std::string kTermKey = "rk/term";
inline const std::string kUpgradeKey = "rk/upgrade";

std::string job_key(const std::string& id);
std::string shard_key(const std::string& id, uint32_t shard);
std::string lease_key(int partition);
std::string machines_key(int partition, int page);
std::string liveness_key(const std::string& label);
std::string version_key(const std::string& label);
std::string quota_key(const std::string& team);
std::string type_key(const std::string& name);

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

// A key taken apart.
struct StoreKey {
  KeyKind kind = KeyKind::kLeader;
  std::string name;    // of the job, controller, team or machine type
  uint32_t shard = 0;  // kShard
  int partition = 0;   // kLease, kMachines; never negative
  int page = 0;        // kMachines; never negative
};

Decoded<StoreKey> parse_store_key(const std::string& key);

}  // namespace rooksill::wire
