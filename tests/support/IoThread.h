#ifndef ANVIL_TESTS_SUPPORT_IOTHREAD_H
#define ANVIL_TESTS_SUPPORT_IOTHREAD_H

#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace anvil::testing {

/// Runs an io_context on a thread of its own, so that a test can talk to its
/// servers with blocking calls.
class IoThread {
public:
  ~IoThread() { stop(); }

  /// Starts the thread; until then the test may use the io_context itself.
  void start() {
    m_Thread = std::thread([this] { m_Io.run(); });
  }
  void stop() {
    m_Work.reset();
    m_Io.stop();
    if (m_Thread.joinable())
      m_Thread.join();
  }
  /// Runs \p What on the thread and waits for it.
  void run(const std::function<void()> &What) {
    std::promise<void> Ran;
    boost::asio::post(m_Io, [&What, &Ran] {
      What();
      Ran.set_value();
    });
    Ran.get_future().wait();
  }
  /// Waits until \p Holds is true on the thread.
  void await(const std::function<bool()> &Holds) {
    for (bool Done = false; !Done; std::this_thread::yield())
      run([&Done, &Holds] { Done = Holds(); });
  }

  boost::asio::io_context m_Io;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work{m_Io.get_executor()};
  std::thread m_Thread;
};

/// A caller on loopback that writes bytes as they are.
class Caller {
public:
  explicit Caller(uint16_t Port) : m_Socket(m_Io) {
    m_Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  }
  Caller &send(std::string_view Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(
        m_Socket, boost::asio::buffer(Bytes.data(), Bytes.size()), Ignored);
    return *this;
  }
  Caller &finish() {
    m_Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    return *this;
  }
  /// Returns all bytes until the server closes the connection.
  std::string readAll() {
    std::string Text;
    boost::system::error_code Ended;
    boost::asio::read(m_Socket, boost::asio::dynamic_buffer(Text), Ended);
    return Text;
  }
  /// Returns all bytes up to and including \p End.
  std::string readUntil(const std::string &End) {
    const size_t Size = boost::asio::read_until(
        m_Socket, boost::asio::dynamic_buffer(m_Read), End);
    std::string Text = m_Read.substr(0, Size);
    m_Read.erase(0, Size);
    return Text;
  }

private:
  boost::asio::io_context m_Io;
  boost::asio::ip::tcp::socket m_Socket;
  std::string m_Read;
};

} // namespace anvil::testing

#endif // ANVIL_TESTS_SUPPORT_IOTHREAD_H
