use super::*;

/// Checks the exchange of RFC 7677, section 3: user `user`, password `pencil`.
#[test]
fn exchange_matches_the_example_of_the_rfc() {
    let salt = BASE64_STANDARD.decode("W22ZaJ0SNY7soEsUEjb6gQ==").unwrap();
    let verifier = Verifier::from_password(b"pencil", &salt, 4096);
    let (exchange, answer) = Exchange::begin(
        verifier.clone(),
        "n,,n=user,r=rOprNGfwEbeRWgbNEkqO",
        "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0",
    )
    .unwrap();
    let nonce = "rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
    assert_eq!(answer, format!("r={nonce},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"));
    let last = format!("c=biws,r={nonce},p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=");
    assert_eq!(exchange.end(&last).unwrap(), "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=");
    let (again, _) =
        Exchange::begin(verifier, "n,,n=user,r=rOprNGfwEbeRWgbNEkqO", "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0")
            .unwrap();
    let wrong = last.replace("p=dH", "p=aH");
    assert_eq!(again.end(&wrong), Err(ScramError::ProofMismatch));
}

#[test]
fn stored_verifier_is_parsed_and_an_invalid_one_rejected() {
    let keys = BASE64_STANDARD.encode([7; 32]);
    let text = format!("SCRAM-SHA-256$4096:c2FsdA==${keys}:{keys}");
    let verifier = Verifier::parse(&text).unwrap();
    assert_eq!(verifier.stored(), text);
    assert!(verifier.iterations == 4096 && verifier.salt == b"salt" && verifier.stored_key == [7; 32]);
    for malformed in [
        "md5abc",
        "SCRAM-SHA-256$x:c2FsdA==$a:b",
        "SCRAM-SHA-256$4096:$a:b",
        "SCRAM-SHA-256$1:c2FsdA==$YQ==:YQ==",
    ] {
        assert!(Verifier::parse(malformed).is_err(), "{malformed}");
    }
    let unknown_user = |name| Verifier::for_unknown_user(name, &[1; 32], Some(&verifier));
    let a = unknown_user("x");
    assert!(a == unknown_user("x") && a != unknown_user("y"));
    assert_eq!((a.iterations, a.salt.len()), (verifier.iterations, verifier.salt.len()));
    assert!(Exchange::begin(a, "p=tls-unique,,n=,r=abc", "s").is_err());
}
