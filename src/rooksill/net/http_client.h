// HTTP client for calls to the key-value store, the cloud and workers over persistent connections.
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

// Makes asynchronous HTTP calls in an event loop, without retries. Each connection carries one call
// at a time; idle connections are kept for further calls to the same address.
class HttpClient {
 public:
  // Receives the outcome of each call exactly once, possibly before call() returns.
  using CallDoneHandler = std::function<void(runtime::CallDone)>;

  // Creates a client that runs in `loop`, which must outlive it. `max_connections` limits the
  // connections, but only for worker calls: one that would need a further connection replaces the
  // one that has been idle longest, or fails as refused if none is idle. Calls to the store and the
  // cloud may exceed the limit, as they need few connections.
  HttpClient(struct ev_loop* loop, size_t max_connections, CallDoneHandler on_call_done);
  ~HttpClient();
  // Starts a call. Its outcome, also a failure or timeout, is passed to the handler.
  void call(const runtime::Call& call);

 private:
  struct Connection;
  void on_io(uint64_t id, int events);
  void start_call(Connection& connection, const runtime::Call& call);
  void write(Connection& connection);
  void read(Connection& connection);
  // Closes a connection. A call in progress on it fails with status 0, as refused if the connection
  // was never established.
  void close_connection(uint64_t id);
  // Reports the response to the call on `connection`, and keeps the connection if possible.
  void finish_call(Connection& connection, HttpMessage message);
  // Closes the connections whose call timeout or idle timeout has expired.
  void close_expired();
  // Closes the connection that has been idle longest; returns false if none is idle.
  bool close_oldest_idle();

  struct ev_loop* loop_;
  size_t max_connections_;
  CallDoneHandler on_call_done_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  // Identifiers of idle connections, by address; the most recently used one is last.
  std::map<std::string, std::list<uint64_t>> idle_by_address_;
  uint64_t next_connection_id_ = 1;
  std::unique_ptr<Timer> expiry_timer_;
};

}  // namespace rooksill::net
