// The listening side: users, workers and health checks.
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

class HttpServer {
 public:
  // (id, method, target, body)
  using RequestHandler = std::function<void(uint64_t, HttpMessage)>;

  HttpServer(struct ev_loop* loop, const std::string& address, size_t max_connections,
             RequestHandler handler);
  ~HttpServer();
  void reply(uint64_t id, int status, const std::string& body, double retry_after_s);

 private:
  struct Connection;
  void accept_connections();
  void on_io(uint64_t id, int events);
  void read(Connection& connection);
  bool parse_request(Connection& connection);
  void write(Connection& connection);
  void send_response(Connection& connection, int status, const std::string& body,
                     double retry_after_s, bool should_close);
  void close_connection(uint64_t id);
  bool close_oldest_idle();
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
