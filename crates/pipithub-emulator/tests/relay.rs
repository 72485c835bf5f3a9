//! Datagrams on a link that is paused, cut, or loses or duplicates them.

use pipithub_emulator::relay::Relay;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// A relay, the socket that sends to it, the socket that it forwards to, and the sizes of the datagrams that it gets.
async fn relay_with_sockets() -> (Relay, UdpSocket, UdpSocket, mpsc::UnboundedReceiver<usize>) {
    let (sender, seen) = mpsc::unbounded_channel();
    let relay = Relay::start(1, move |b| {
        assert!(sender.send(b.len()).is_ok() || b.is_empty());
    })
    .await
    .unwrap();
    let to = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let from = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    relay.forward_to(Some(to.local_addr().unwrap()));
    (relay, from, to, seen)
}

#[tokio::test]
async fn paused_datagrams_arrive_after_the_pause_and_cut_ones_are_lost() {
    let (relay, from, to, mut seen) = relay_with_sockets().await;
    relay.change(|link| link.cut = true);
    from.send_to(b"cut", relay.address()).await.unwrap();
    assert_eq!(seen.recv().await, Some(3));
    relay.change(|link| (link.cut, link.paused) = (false, true));
    from.send_to(b"held!", relay.address()).await.unwrap();
    assert_eq!(seen.recv().await, Some(5));
    relay.change(|link| link.paused = false);
    let mut buffer = [0; 16];
    let count = to.recv(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..count], b"held!");
}

#[tokio::test]
async fn datagrams_are_lost_or_duplicated_with_certainty_at_probability_one() {
    let (relay, from, to, mut seen) = relay_with_sockets().await;
    relay.change(|link| link.loss = 1.0);
    from.send_to(b"lost", relay.address()).await.unwrap();
    seen.recv().await;
    relay.change(|link| (link.loss, link.duplication) = (0.0, 1.0));
    from.send_to(b"two", relay.address()).await.unwrap();
    let mut buffer = [0; 16];
    for _ in 0..2 {
        let count = to.recv(&mut buffer).await.unwrap();
        assert_eq!(&buffer[..count], b"two");
    }
}
