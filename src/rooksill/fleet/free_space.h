// Free resources for tasks on machines that are up, booting or requested.
#pragma once

#include <string>

#include "rooksill/fleet/offer.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// The free resources of one machine, with the properties that restrict which tasks may use them.
struct FreeSpace {
  const model::MachineType* type = nullptr;
  std::string zone;
  bool spot = false;  // is a spot machine
  model::Resources free;
  int partition = kAnyPartition;  // kAnyPartition: of a requested machine not yet assigned
};

// Returns the free resources that the machine's owner reports.
inline model::Resources free_resources(const wire::MachineStatus& status) {
  return {status.cpus_free, status.gpus_free, status.memory_free_gb};
}

// Return the free space of a machine without tasks: of one to be rented, or of an existing one.
inline FreeSpace empty_machine(const model::MachineType& type, const Offer& offer, int partition) {
  return {&type, offer.zone, offer.pool.spot, type.capacity, partition};
}

inline FreeSpace empty_machine(const model::MachineType& type, const model::Machine& machine) {
  return {&type, machine.zone, machine.spot, type.capacity, machine.partition};
}

}  // namespace rooksill::fleet
