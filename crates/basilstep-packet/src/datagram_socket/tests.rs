use super::{ConnectedDatagramSocket, MAX_WAITING_BATCHES, SendOutcome, read_waiting};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Guards against the end of a new incarnation of the target by the error of a packet to the former
/// one, which the operating system reports only with the next packet.
#[tokio::test]
async fn refusal_by_the_former_peer_is_not_reported_for_the_next_one() {
    let former = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let Ok(SocketAddr::V4(address)) = former.local_addr() else {
        panic!("expected an IPv4 address");
    };
    let socket = ConnectedDatagramSocket::connect(Ipv4Addr::LOCALHOST, address)
        .await
        .unwrap();
    // The socket becomes writable once the runtime has polled it.
    tokio::task::yield_now().await;
    drop(former);
    // The error of this packet is pending afterwards.
    assert_eq!(socket.send(b"to the former peer"), SendOutcome::Sent);
    let _next = UdpSocket::bind(address).unwrap();
    socket.clear_error();
    assert_eq!(socket.send(b"to the next peer"), SendOutcome::Sent);
}

/// Guards against second offers of SYNs whose confirmations wait behind the first batch, and against a
/// loop that senders can keep running.
#[test]
fn waiting_batches_are_read_until_none_is_left_or_the_limit_is_reached() {
    for (waiting, expected) in [(0, 1), (3, 4), (usize::MAX, MAX_WAITING_BATCHES)] {
        let mut reads = 0;
        read_waiting(MAX_WAITING_BATCHES, || {
            reads += 1;
            reads <= waiting
        });
        assert_eq!(reads, expected);
    }
}
