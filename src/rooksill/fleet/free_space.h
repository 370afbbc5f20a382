// Free space for tasks on machines that are there, on their way or requested.
#pragma once

#include <string>

#include "rooksill/fleet/offer.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// What is free on one machine.
struct FreeSpace {
  const model::MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  model::Resources free;
  int partition = kAnyPartition;  // kAnyPartition: a requested machine that may go to any
};

inline model::Resources free_resources(const wire::MachineStatus& status) {
  return {status.cpus_free, status.gpus_free, status.memory_free_gb};
}

// A machine of the offer without any task.
inline FreeSpace empty_machine(const model::MachineType& type, const Offer& offer, int partition) {
  return {&type, offer.zone, offer.pool.spot, type.capacity, partition};
}

inline FreeSpace empty_machine(const model::MachineType& type, const model::Machine& machine) {
  return {&type, machine.zone, machine.spot, type.capacity, machine.partition};
}

}  // namespace rooksill::fleet
