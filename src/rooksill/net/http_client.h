// The calling side: the state service, the cloud and workers, over kept connections.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "rooksill/net/http_parser.h"
#include "rooksill/net/loop.h"
#include "rooksill/net/socket.h"
#include "rooksill/runtime/commands.h"
#include "rooksill/runtime/effects.h"

namespace rooksill::net {

class HttpClient {
 public:
  using CallDoneHandler = std::function<void(runtime::CallDone)>;

  HttpClient(struct ev_loop* loop, size_t max_connections, CallDoneHandler on_call_done);
  ~HttpClient();
  void call(const runtime::Call& call);

 private:
  struct Connection;
  void on_io(uint64_t id, int events);
  void start_call(Connection& connection, const runtime::Call& call);
  void write(Connection& connection);
  void read(Connection& connection);
  // Ends the connection; a call on it gets no answer, unless it can go out once more.
  void close_connection(uint64_t id);
  void finish_call(Connection& connection, HttpMessage message);
  void close_expired();
  bool close_oldest_idle();

  struct ev_loop* loop_;
  size_t max_connections_;
  CallDoneHandler on_call_done_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::map<std::string, std::list<uint64_t>> idle_by_address_;
  uint64_t next_connection_id_ = 1;
  std::unique_ptr<Timer> expiry_timer_;
};

}  // namespace rooksill::net
