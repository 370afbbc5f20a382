// HTTP server for users, workers and health checks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "rooksill/net/http_parser.h"
#include "rooksill/net/loop.h"
#include "rooksill/net/socket.h"

namespace rooksill::net {

// Accepts connections in an event loop and passes their requests to a handler. A connection has one
// request in progress at a time; its next request is parsed after the reply.
class HttpServer {
 public:
  // Receives a request and the identifier to reply() to.
  using RequestHandler = std::function<void(uint64_t, HttpMessage)>;

  // Listens on `address` ("host:port", the host as an IPv4 address). `loop` must outlive the
  // server. When `max_connections` are open, a new connection replaces the one that has been idle
  // longest, or is closed if none is idle. Throws std::runtime_error if it cannot listen.
  HttpServer(struct ev_loop* loop, const std::string& address, size_t max_connections,
             RequestHandler handler);
  ~HttpServer();
  // Sends the response to request `id`; does nothing if its connection has been closed. A positive
  // `retry_after_s` is sent as the Retry-After header, rounded up to seconds.
  void reply(uint64_t id, int status, const std::string& body, double retry_after_s);

 private:
  struct Connection;
  void accept_connections();
  void on_io(uint64_t id, int events);
  void read(Connection& connection);
  // Parses buffered input and passes a complete request to the handler; returns whether it did.
  bool parse_request(Connection& connection);
  void write(Connection& connection);
  // Queues and sends a response; `should_close` ends the connection after it.
  void send_response(Connection& connection, int status, const std::string& body,
                     double retry_after_s, bool should_close);
  void close_connection(uint64_t id);
  // Closes the connection that has been idle longest; returns false if none is idle.
  bool close_oldest_idle();
  // Closes the connections whose request timeout or idle timeout has expired.
  void close_expired();

  struct ev_loop* loop_;
  Socket listener_;
  size_t max_connections_;
  RequestHandler handler_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  uint64_t next_connection_id_ = 1;
  std::unique_ptr<IoWatcher> accept_watcher_;
  std::unique_ptr<Timer> expiry_timer_;
};

}  // namespace rooksill::net
