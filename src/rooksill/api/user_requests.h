// Users' requests: submissions, polls, cancellations.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

class UserRequests {
 public:
  UserRequests(runtime::Context& ctx, store::Replica& replica, store::Client& client,
               store::Committer& committer)
      : ctx_(ctx), replica_(replica), client_(client), committer_(committer) {}

  void handle(const runtime::Request& request);
  // Sends what is waiting; comes after reports and decisions.
  void flush();
  size_t submissions() const { return creations_.size(); }
  size_t polls() const { return polls_.size(); }
  std::vector<std::string> take_accepted() { return std::exchange(accepted_, {}); }

 private:
  struct Creation {
    uint64_t request = 0;
    model::Job job;
    double since = 0;
  };
  struct Poll {
    uint64_t request = 0;
    std::string id;
    double since = 0;
  };

  void submit(const runtime::Request& request);
  void refuse(uint64_t request, const std::string& id, const std::string& why);
  void poll(uint64_t request, const std::string& id);
  void cancel(uint64_t request, const std::string& id, int tries);
  void answer(uint64_t request, const std::string& id);
  // `found` runs once the job is in the replica, `absent` if the store has no such job.
  void look_up(uint64_t request, const std::string& id, std::function<void()> found,
               std::function<void()> absent);
  void look_up(uint64_t request, const std::string& id, std::function<void()> found);
  void later(uint64_t request);
  double pause(double share) const;
  void flush_creations();
  void flush_polls();
  std::string unrunnable(const model::JobSpec& spec) const;

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Client& client_;
  store::Committer& committer_;
  std::deque<Creation> creations_;
  std::deque<Poll> polls_;
  std::vector<std::string> accepted_;
  int creating_ = 0, checking_ = 0;
  double next_creation_ = 0, next_check_ = 0;
  size_t lookups_ = 0;
};

}  // namespace rooksill::api
